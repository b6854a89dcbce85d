package org.plantainknot.core.routing;

/** Outcome of a request on a target. */
public enum TargetOutcome {
  /** The target answered without a failure. */
  ANSWERED(false, true, false),
  /** The target answered with a failure. */
  FAILED(true, true, false),
  /** The answer timed out or the connection broke; the target may still run the request. */
  NO_RESPONSE(true, false, true),
  /** No connection could be made, and nothing was sent. */
  CONNECT_FAILED(true, false, false),
  /** The request ended before anything was sent to the target. */
  NOT_SENT(false, false, false);

  private final boolean failure;
  private final boolean latencySample;
  private final boolean mayStillRun;

  TargetOutcome(boolean failure, boolean latencySample, boolean mayStillRun) {
    this.failure = failure;
    this.latencySample = latencySample;
    this.mayStillRun = mayStillRun;
  }

  /** Returns whether the target may still run the request, so that its slot stays in use. */
  public boolean mayStillRun() {
    return mayStillRun;
  }

  /** Returns whether the outcome counts as a failure of the target. */
  public boolean isFailure() {
    return failure;
  }

  /** Returns whether the elapsed time is a sample of the latency of the service. */
  public boolean isLatencySample() {
    return latencySample;
  }
}
