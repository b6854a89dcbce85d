package org.plantainknot.core.job;

import java.util.List;
import java.util.function.IntPredicate;
import java.util.function.LongUnaryOperator;

/**
 * Specification of a job as submitted.
 *
 * @param id identifier chosen by the caller
 * @param queue name of the queue to which the job was submitted
 * @param payload payload that is passed to the workers
 * @param steps steps of the job
 * @param schedule schedule of the job's occurrences
 */
public record JobSpec(
    String id, String queue, String payload, List<StepSpec> steps, Schedule schedule) {

  /** Heap that an open job takes, without its payload and steps. */
  private static final long FIXED_BYTES = 500;

  /** Makes a defensive copy of the steps. */
  public JobSpec {
    steps = List.copyOf(steps);
  }

  /** Returns the specification without payload, steps and schedule. */
  JobSpec withoutWork() {
    return new JobSpec(id, queue, "", List.of(), Schedule.NOW);
  }

  /** Returns an estimate of the heap that the job takes while it is open. */
  public long heapBytes() {
    return FIXED_BYTES + payload.length() + steps.stream().mapToLong(StepSpec::heapBytes).sum();
  }

  /** Returns whether any task of the job runs until it is cancelled. */
  public boolean isPersistent() {
    return steps.stream().anyMatch(StepSpec::persistent);
  }

  /** Returns the estimated work of one occurrence in core-milliseconds. */
  public double estimatedWork() {
    return steps.stream().mapToDouble(step -> step.count() * step.estimatedWork()).sum();
  }

  /**
   * Returns the duration of the longest chain of dependent steps (the critical path).
   *
   * @param isPending tests whether a step still has to be done
   * @param expectedMillis maps the estimated duration of a task to the expected one
   */
  public long criticalPathMillis(IntPredicate isPending, LongUnaryOperator expectedMillis) {
    long[] endMillis = new long[steps.size()];
    long longestMillis = 0;
    for (int step = 0; step < endMillis.length; step++) {
      for (int earlier : steps.get(step).dependsOn()) {
        endMillis[step] = Math.max(endMillis[step], endMillis[earlier]);
      }
      endMillis[step] +=
          isPending.test(step) ? expectedMillis.applyAsLong(steps.get(step).estimateMillis()) : 0;
      longestMillis = Math.max(longestMillis, endMillis[step]);
    }
    return longestMillis;
  }
}
