package org.plantainknot.core.admission;

/** Why a request is refused before anything was sent to a target. */
public enum Refusal {
  /** The queue of the service and kind is full. */
  QUEUE_FULL("the queue is full"),
  /** The answer could not come before the deadline. */
  TOO_LATE("the deadline can't be met"),
  /** No target can serve the request. */
  NO_TARGET("no target is available"),
  /** A target has failed the request, and it may not be tried again. */
  NO_RETRY("no further attempt is allowed"),
  /** The caller has hung up. */
  CALLER_GONE("the caller has gone"),
  /** This gateway may not give out work at the moment. */
  NO_LEASE("this gateway holds no lease"),
  /** This gateway is stopping. */
  STOPPING("this gateway is stopping");

  private final String reason;

  Refusal(String reason) {
    this.reason = reason;
  }

  /** Returns the reason, for people. */
  public String reason() {
    return reason;
  }
}
