package org.plantainknot.core.placement;

/** Outcome of a task as its worker reports it. */
public enum TaskReport {
  /** The task finished successfully. */
  FINISHED,
  /** The task failed. */
  FAILED,
  /** The task wrote a checkpoint and ended, or stopped as ordered. */
  ENDED
}
