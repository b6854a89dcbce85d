package org.plantainknot.core.job;

/**
 * Identifier of a task.
 *
 * @param job identifier of the job
 * @param occurrence number of the job's occurrence, from 0
 * @param step number of the step, from 0
 * @param index number of the task within its step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {

  private static final int PARTS = 4;

  /**
   * Parses an identifier of the form {@code job.occurrence.step.index}.
   *
   * @throws IllegalArgumentException if the text does not have this form
   */
  public static TaskId parse(String text) {
    String[] parts = text.split("\\.");
    if (parts.length != PARTS) {
      throw new IllegalArgumentException("invalid task identifier: " + text);
    }
    return new TaskId(
        parts[0],
        Integer.parseInt(parts[1]),
        Integer.parseInt(parts[2]),
        Integer.parseInt(parts[3]));
  }

  /** Returns the identifier of the step to which the task belongs. */
  public StepId stepId() {
    return new StepId(job, occurrence, step);
  }

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step + "." + index;
  }
}
