package org.plantainknot.core.job;

/** Status of a job. */
public enum JobStatus {
  /** No task has started. */
  QUEUED(false),
  /** A task has started. */
  RUNNING(false),
  /** All tasks are done. */
  COMPLETED(true),
  /** A task reached the queue's maximum number of attempts. */
  FAILED(true),
  /** The caller cancelled the job. */
  CANCELLED(true);

  private final boolean ended;

  JobStatus(boolean ended) {
    this.ended = ended;
  }

  /** Returns whether the job has ended, so that no more of its tasks are started. */
  public boolean isEnded() {
    return ended;
  }
}
