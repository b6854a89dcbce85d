package org.plantainknot.core.placement;

/** Phase of a job. */
public enum JobPhase {
  /** Waits for a worker. */
  QUEUED(false, false),
  /** Has a task on a worker, or may still have one under an unexpired lease. */
  PLACED(true, false),
  /** Its task was ordered to write a checkpoint and end. */
  CHECKPOINTING(true, false),
  /** Its task was ordered to stop; the job is not queued again. */
  STOPPING(true, false),
  /** Finished successfully. */
  DONE(false, true),
  /** Was cancelled; never starts again. */
  CANCELLED(false, true),
  /** Refused on submission, since it is larger than every worker. */
  REFUSED(false, true),
  /** Failed on too many different workers. */
  FAILED(false, true);

  private final boolean occupying;
  private final boolean ended;

  JobPhase(boolean occupying, boolean ended) {
    this.occupying = occupying;
    this.ended = ended;
  }

  /** Returns whether the job occupies a worker's resources. */
  public boolean isOccupying() {
    return occupying;
  }

  /** Returns whether the phase is final. */
  public boolean isEnded() {
    return ended;
  }
}
