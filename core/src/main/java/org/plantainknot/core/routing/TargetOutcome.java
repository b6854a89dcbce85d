package org.plantainknot.core.routing;

/** How a target dealt with a request. */
public enum TargetOutcome {
  /** It answered. */
  ANSWERED(false, true),
  /** It answered that it failed. */
  FAILED(true, true),
  /** It did not answer in time, or the connection broke. */
  LOST(true, false),
  /** It was given nothing, since the request ended before it was sent. */
  UNUSED(false, false);

  private final boolean failure;
  private final boolean timed;

  TargetOutcome(boolean failure, boolean timed) {
    this.failure = failure;
    this.timed = timed;
  }

  /** Returns whether the outcome speaks against the target. */
  public boolean isFailure() {
    return failure;
  }

  /** Returns whether the time taken tells how long the service takes. */
  public boolean isTimed() {
    return timed;
  }
}
