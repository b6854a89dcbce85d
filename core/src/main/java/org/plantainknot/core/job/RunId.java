package org.plantainknot.core.job;

/**
 * Identifier of a run, which is one execution of a task.
 *
 * @param task task that is executed
 * @param run number of the run within the task, from 1
 */
public record RunId(TaskId task, int run) {

  @Override
  public String toString() {
    return task + "#" + run;
  }
}
