package org.plantainknot.core.call;

import java.util.List;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.Schedule;
import org.plantainknot.core.job.StepSpec;

/**
 * Job as submitted by a caller, before it is routed to a queue.
 *
 * @param payload payload that is passed to the workers
 * @param steps steps of the job
 * @param schedule schedule of the job's occurrences
 */
public record JobDraft(String payload, List<StepSpec> steps, Schedule schedule) {

  /** Makes a defensive copy of the steps. */
  public JobDraft {
    steps = List.copyOf(steps);
  }

  /** Returns the job specification with the given identifier and queue. */
  public JobSpec toSpec(String id, String queue) {
    return new JobSpec(id, queue, payload, steps, schedule);
  }
}
