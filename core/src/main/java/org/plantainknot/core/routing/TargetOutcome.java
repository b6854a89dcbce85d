package org.plantainknot.core.routing;

/** How a target dealt with a request. */
public enum TargetOutcome {
  /** It answered. */
  ANSWERED(false, true, false),
  /** It answered that it failed. */
  FAILED(true, true, false),
  /** It did not answer in time, or the connection broke; it may still run the request. */
  LOST(true, false, true),
  /** No connection was had, and nothing was sent. */
  UNREACHED(true, false, false),
  /** It was given nothing, since the request ended before it was sent. */
  UNUSED(false, false, false);

  private final boolean failure;
  private final boolean timed;
  private final boolean lingering;

  TargetOutcome(boolean failure, boolean timed, boolean lingering) {
    this.failure = failure;
    this.timed = timed;
    this.lingering = lingering;
  }

  /** Returns whether the target may go on with the request, and so keep its slot taken. */
  public boolean isLingering() {
    return lingering;
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
