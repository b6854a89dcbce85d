package org.plantainknot.core.job;

/** How many tasks of a step, or of a whole job, are where; kept up to date by the tasks. */
final class TaskCounts {

  private final TaskCounts whole;
  private int open;
  private int waiting;
  private int placed;

  /**
   * Creates the counts of no tasks.
   *
   * @param whole counts that these are a part of, or null
   */
  TaskCounts(TaskCounts whole) {
    this.whole = whole;
  }

  /** Adds a task that waits. */
  void add() {
    open++;
    waiting++;
    if (whole != null) {
      whole.add();
    }
  }

  /** Notes that a task is done. */
  void done(boolean wasWaiting) {
    open--;
    waiting -= wasWaiting ? 1 : 0;
    if (whole != null) {
      whole.done(wasWaiting);
    }
  }

  /** Notes that a task was assigned to a worker, or is free of it. */
  void placed(boolean assigned, boolean done) {
    placed += assigned ? 1 : -1;
    if (!done) {
      waiting += assigned ? -1 : 1;
    }
    if (whole != null) {
      whole.placed(assigned, done);
    }
  }

  /** Returns whether all tasks are done. */
  boolean isDone() {
    return open == 0;
  }

  /** Returns whether a task waits for a worker. */
  boolean isAnyWaiting() {
    return waiting > 0;
  }

  /** Returns whether a task may be running. */
  boolean isAnyPlaced() {
    return placed > 0;
  }
}
