package org.plantainknot.core.job;

/**
 * Identifier of a step of one occurrence of a job.
 *
 * @param job identifier of the job
 * @param occurrence number of the job's occurrence, from 0
 * @param step number of the step, from 0
 */
public record StepId(String job, int occurrence, int step) {

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step;
  }
}
