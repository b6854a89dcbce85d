package org.plantainknot.core.job;

import java.util.ArrayList;
import java.util.List;

/** Steps of one occurrence of a job. */
final class Occurrence {

  private final TaskCounts counts;
  private final long tasks;
  private final List<StepTasks> steps = new ArrayList<>();

  Occurrence(JobSpec job, int number, TaskCounts jobCounts) {
    counts = new TaskCounts(jobCounts);
    for (int step = 0; step < job.steps().size(); step++) {
      StepId id = new StepId(job.id(), number, step);
      steps.add(new StepTasks(id, job.steps().get(step), counts));
    }
    tasks = counts.waiting();
  }

  StepTasks step(int number) {
    return steps.get(number);
  }

  List<StepTasks> steps() {
    return steps;
  }

  /** Returns whether any task waits for a worker, even if its step is not ready yet. */
  boolean isAnyWaiting() {
    return counts.isAnyWaiting();
  }

  /** Returns whether all tasks wait for a worker. */
  boolean isAllWaiting() {
    return counts.waiting() == tasks;
  }

  /** Returns whether all tasks are done and none has a run that may still be running. */
  boolean isFinished() {
    return counts.isDone() && !counts.isAnyAssigned();
  }
}
