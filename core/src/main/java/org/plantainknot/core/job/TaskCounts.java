package org.plantainknot.core.job;

/** Counts of the tasks of a step or of a whole job by state. Updated by the tasks. */
final class TaskCounts {

  private final TaskCounts parent;
  private long unfinished;
  private long waiting;
  private long assigned;

  /**
   * Creates counts that are all zero.
   *
   * @param parent counts that include these counts, or null
   */
  TaskCounts(TaskCounts parent) {
    this.parent = parent;
  }

  /** Counts new tasks, which wait for a worker. */
  void countNew(int tasks) {
    unfinished += tasks;
    waiting += tasks;
    if (parent != null) {
      parent.countNew(tasks);
    }
  }

  /**
   * Counts a task as done.
   *
   * @param wasWaiting whether the task was counted as waiting
   */
  void countDone(boolean wasWaiting) {
    unfinished--;
    waiting -= wasWaiting ? 1 : 0;
    if (parent != null) {
      parent.countDone(wasWaiting);
    }
  }

  /**
   * Counts a change of a task's assignment.
   *
   * @param isAssigned whether the task was assigned to a worker or is no longer assigned
   * @param isDone whether the task is done
   */
  void countAssignment(boolean isAssigned, boolean isDone) {
    assigned += isAssigned ? 1 : -1;
    if (!isDone) {
      waiting += isAssigned ? -1 : 1;
    }
    if (parent != null) {
      parent.countAssignment(isAssigned, isDone);
    }
  }

  /** Returns whether all tasks are done. */
  boolean isDone() {
    return unfinished == 0;
  }

  /** Returns the number of tasks that wait for a worker. */
  long waiting() {
    return waiting;
  }

  /** Returns whether any task waits for a worker. */
  boolean isAnyWaiting() {
    return waiting > 0;
  }

  /** Returns whether any task is assigned to a worker, so that it may be running. */
  boolean isAnyAssigned() {
    return assigned > 0;
  }
}
