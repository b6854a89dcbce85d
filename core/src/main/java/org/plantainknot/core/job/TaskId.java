package org.plantainknot.core.job;

/**
 * Name of a task.
 *
 * @param job identifier of its job
 * @param occurrence number of the job's occurrence in time, from 0
 * @param step number of the step, from 0
 * @param index number of the task in its step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {

  private static final int PARTS = 4;

  /**
   * Reads {@code job.occurrence.step.index}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static TaskId parse(String text) {
    String[] parts = text.split("\\.");
    if (parts.length != PARTS) {
      throw new IllegalArgumentException("not a task: " + text);
    }
    return new TaskId(
        parts[0],
        Integer.parseInt(parts[1]),
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]));
  }

  /** Returns the step that the task belongs to. */
  public StepId stepId() {
    return new StepId(job, occurrence, step);
  }

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step + "." + index;
  }
}
