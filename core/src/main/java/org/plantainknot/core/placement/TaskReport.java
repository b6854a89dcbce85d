package org.plantainknot.core.placement;

/** What a worker reports of a task. */
public enum TaskReport {
  /** It did its work. */
  FINISHED,
  /** It failed. */
  FAILED,
  /** It wrote a checkpoint and ended, or stopped as told. */
  ENDED
}
