package org.plantainknot.core.job;

/** How a run ended. */
public enum EndKind {
  /** The run completed its work. */
  DONE(false),
  /** The run failed because of the task itself or of its worker. */
  FAILED(true),
  /** The run was stopped on request. */
  STOPPED(false),
  /** The lease of the run expired. */
  LAPSED(false),
  /** Another member of the gang ended. */
  BROKEN(false),
  /** The other members of the gang did not start in time. */
  ALONE(false);

  private final boolean failedAttempt;

  EndKind(boolean failedAttempt) {
    this.failedAttempt = failedAttempt;
  }

  /** Returns whether the end counts towards the maximum number of attempts. */
  public boolean isFailedAttempt() {
    return failedAttempt;
  }
}
