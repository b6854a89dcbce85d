package org.plantainknot.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;

/** Accepted job with its status and tasks. */
public final class Job {

  /**
   * Copy of a job for snapshots.
   *
   * @param spec the job as submitted
   * @param service service that runs its tasks
   * @param acceptedAtMillis time of acceptance on the replicated log's clock
   * @param status status of the job
   * @param endedAtMillis time at which the job ended, or 0
   * @param tasks tasks that have been assigned at least once
   */
  public record Image(
      JobSpec spec,
      String service,
      long acceptedAtMillis,
      JobStatus status,
      long endedAtMillis,
      List<TaskImage> tasks) {}

  private final long acceptedAtMillis;
  private final TaskCounts counts = new TaskCounts(null);
  private final List<List<Step>> occurrences = new ArrayList<>();
  private JobSpec spec;
  private String service;
  private JobStatus status = JobStatus.QUEUED;
  private long endedAtMillis;

  /** Tasks of one step of one occurrence, with their counts. */
  private record Step(List<Task> tasks, TaskCounts counts) {}

  Job(JobSpec spec, String service, long acceptedAtMillis) {
    this.spec = spec;
    this.service = service;
    this.acceptedAtMillis = acceptedAtMillis;
    for (int occurrence = 0; occurrence < spec.schedule().occurrences(); occurrence++) {
      occurrences.add(createSteps(occurrence));
    }
  }

  static Job restore(Image image) {
    Job job = new Job(image.spec(), image.service(), image.acceptedAtMillis());
    job.status = image.status();
    job.endedAtMillis = image.endedAtMillis();
    image.tasks().forEach(task -> job.task(task.id()).restore(task));
    return job;
  }

  /** Returns the job as submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns the service whose workers run the tasks. */
  public String service() {
    return service;
  }

  /** Returns the time of acceptance on the replicated log's clock. */
  public long acceptedAtMillis() {
    return acceptedAtMillis;
  }

  /** Returns the status of the job. */
  public JobStatus status() {
    return status;
  }

  /** Returns the time at which the job ended, or 0. */
  public long endedAtMillis() {
    return endedAtMillis;
  }

  /** Returns the number of occurrences. */
  public int occurrences() {
    return occurrences.size();
  }

  /** Returns the tasks of a step of an occurrence. */
  public List<Task> tasks(int occurrence, int step) {
    return occurrences.get(occurrence).get(step).tasks();
  }

  /** Returns all tasks. */
  public List<Task> tasks() {
    return occurrences.stream()
        .flatMap(List::stream)
        .flatMap(step -> step.tasks().stream())
        .toList();
  }

  /** Returns whether any task waits for a worker, even if its step is not ready yet. */
  public boolean isAnyWaiting() {
    return counts.isAnyWaiting();
  }

  /** Returns whether any task of the step waits for a worker. */
  public boolean isAnyWaiting(int occurrence, int step) {
    return counts(occurrence, step).isAnyWaiting();
  }

  /** Returns a task, or null if the job has no such task. */
  public Task task(TaskId id) {
    boolean exists =
        id.occurrence() < occurrences.size()
            && id.step() < spec.steps().size()
            && id.index() < spec.steps().get(id.step()).count();
    return exists ? tasks(id.occurrence(), id.step()).get(id.index()) : null;
  }

  /** Returns whether all steps on which the step depends are done. */
  public boolean isStepReady(int occurrence, int step) {
    return spec.steps().get(step).dependsOn().stream()
        .allMatch(earlier -> isStepDone(occurrence, earlier));
  }

  private boolean isStepDone(int occurrence, int step) {
    return counts(occurrence, step).isDone();
  }

  private TaskCounts counts(int occurrence, int step) {
    return occurrences.get(occurrence).get(step).counts();
  }

  /**
   * Returns the duration of the longest chain of dependent steps that are not done yet.
   *
   * @param occurrence number of the occurrence, from 0
   * @param expectedMillis maps the estimated duration of a task to the expected one
   */
  public long remainingCriticalPathMillis(int occurrence, LongUnaryOperator expectedMillis) {
    return spec.criticalPathMillis(step -> !isStepDone(occurrence, step), expectedMillis);
  }

  void setService(String newService) {
    service = newService;
  }

  void markStarted() {
    if (status == JobStatus.QUEUED) {
      status = JobStatus.RUNNING;
    }
  }

  void end(JobStatus endStatus, long nowMillis) {
    status = endStatus;
    endedAtMillis = nowMillis;
  }

  boolean isAllDone() {
    return counts.isDone();
  }

  boolean isAnyAssigned() {
    return counts.isAnyAssigned();
  }

  /** Discards the tasks, payload and steps, so that ended jobs take little memory. */
  void discardWork() {
    spec = spec.withoutWork();
    occurrences.clear();
  }

  Image image() {
    List<TaskImage> images =
        tasks().stream().filter(task -> task.run() > 0).map(Task::image).toList();
    return new Image(spec, service, acceptedAtMillis, status, endedAtMillis, images);
  }

  private List<Step> createSteps(int occurrence) {
    List<Step> steps = new ArrayList<>();
    for (int number = 0; number < spec.steps().size(); number++) {
      StepSpec step = spec.steps().get(number);
      TaskCounts stepCounts = new TaskCounts(counts);
      List<Task> tasks = new ArrayList<>();
      for (int index = 0; index < step.count(); index++) {
        stepCounts.countNew();
        tasks.add(new Task(new TaskId(spec.id(), occurrence, number, index), step, stepCounts));
      }
      steps.add(new Step(tasks, stepCounts));
    }
    return steps;
  }
}
