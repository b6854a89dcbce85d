package org.plantainknot.core.job;

import java.util.List;
import java.util.function.IntPredicate;
import java.util.function.LongUnaryOperator;

/**
 * Job as it was submitted.
 *
 * @param id identifier that the caller chose
 * @param queue name of the queue that it was handed to
 * @param payload what the workers are told to run
 * @param steps its steps
 * @param schedule when it runs
 */
public record JobSpec(
    String id, String queue, String payload, List<StepSpec> steps, Schedule schedule) {

  /** Copies the steps. */
  public JobSpec {
    steps = List.copyOf(steps);
  }

  /** Returns the same without payload, steps and schedule. */
  JobSpec withoutWork() {
    return new JobSpec(id, queue, "", List.of(), Schedule.NOW);
  }

  /** Returns whether any task of the job runs until it is cancelled. */
  public boolean isPersistent() {
    return steps.stream().anyMatch(StepSpec::persistent);
  }

  /** Returns the work of one occurrence as estimated, in core-milliseconds. */
  public double estimatedWork() {
    return steps.stream().mapToDouble(step -> step.count() * step.estimatedWork()).sum();
  }

  /**
   * Returns the duration of the longest chain of steps.
   *
   * @param counts whether a step has to be done yet
   * @param expectedMillis duration of a task to expect, by its estimate
   */
  public long chainMillis(IntPredicate counts, LongUnaryOperator expectedMillis) {
    long[] endMillis = new long[steps.size()];
    long longest = 0;
    for (int step = 0; step < endMillis.length; step++) {
      for (int earlier : steps.get(step).dependsOn()) {
        endMillis[step] = Math.max(endMillis[step], endMillis[earlier]);
      }
      endMillis[step] +=
          counts.test(step) ? expectedMillis.applyAsLong(steps.get(step).estimateMillis()) : 0;
      longest = Math.max(longest, endMillis[step]);
    }
    return longest;
  }
}
