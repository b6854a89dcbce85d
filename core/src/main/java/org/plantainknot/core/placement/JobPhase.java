package org.plantainknot.core.placement;

/** Where a job stands. */
public enum JobPhase {
  /** Waits for a worker. */
  QUEUED(false, false),
  /** Has a task on a worker, or may still have one under an unexpired lease. */
  PLACED(true, false),
  /** Its task was told to write a checkpoint and end. */
  CHECKPOINTING(true, false),
  /** Its task was told to stop for good. */
  STOPPING(true, false),
  /** Finished its work. */
  DONE(false, true),
  /** Was cancelled; never starts again. */
  CANCELLED(false, true),
  /** Can never run. */
  REFUSED(false, true),
  /** Failed on several workers. */
  FAILED(false, true);

  private final boolean occupying;
  private final boolean ended;

  JobPhase(boolean occupying, boolean ended) {
    this.occupying = occupying;
    this.ended = ended;
  }

  /** Returns whether the job takes up a worker's resources. */
  public boolean isOccupying() {
    return occupying;
  }

  /** Returns whether nothing more will happen to the job. */
  public boolean isEnded() {
    return ended;
  }
}
