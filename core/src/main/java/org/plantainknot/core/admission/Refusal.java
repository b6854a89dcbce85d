package org.plantainknot.core.admission;

/** Reason for refusing a request without sending it to a target, or without retrying it. */
public enum Refusal {
  /** The queue of the service and kind is full. */
  QUEUE_FULL("the queue is full"),
  /** The response is not expected before the deadline. */
  TOO_LATE("the deadline can't be met"),
  /** No target can serve the request. */
  NO_TARGET("no target is available"),
  /** A target has failed the request, and no retry is allowed. */
  NO_RETRY("no further attempt is allowed"),
  /** The caller has closed the connection. */
  CALLER_GONE("the caller has gone"),
  /** This gateway holds no lease, so it may not dispatch requests. */
  NO_LEASE("this gateway holds no lease"),
  /** This gateway is stopping. */
  STOPPING("this gateway is stopping");

  private final String reason;

  Refusal(String reason) {
    this.reason = reason;
  }

  /** Returns the reason as human-readable text. */
  public String reason() {
    return reason;
  }
}
