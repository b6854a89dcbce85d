package org.plantainknot.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;

/**
 * Accepted job with its status and tasks.
 *
 * <p>Occurrences are opened when they are first needed and discarded once they are finished, so
 * that the memory in use depends on the work in progress and not on numbers in the specification.
 */
public final class Job {

  /** Maximum number of due occurrences all of whose tasks wait, for a further one to be opened. */
  private static final int MAX_WAITING_DUE = 8;

  /**
   * Copy of a job for snapshots.
   *
   * @param spec the job as submitted
   * @param service service that runs its tasks
   * @param acceptedAtMillis time of acceptance on the replicated log's clock
   * @param status status of the job
   * @param endedAtMillis time at which the job ended, or 0
   * @param finishedBelow number below which all occurrences are finished
   * @param finishedOthers other occurrences that are finished; null in older snapshots
   * @param tasks tasks of the other occurrences that have been assigned at least once
   */
  public record Image(
      JobSpec spec,
      String service,
      long acceptedAtMillis,
      JobStatus status,
      long endedAtMillis,
      int finishedBelow,
      List<Integer> finishedOthers,
      List<TaskImage> tasks) {

    /** Replaces a list that is missing in an older snapshot. */
    public Image {
      finishedOthers = finishedOthers == null ? List.of() : List.copyOf(finishedOthers);
    }
  }

  private final long acceptedAtMillis;
  private final TaskCounts counts = new TaskCounts(null);
  private final Map<Integer, Occurrence> openOccurrences = new TreeMap<>();
  private final NumberSet finishedOccurrences = new NumberSet();
  private JobSpec spec;
  private String service;
  private JobStatus status = JobStatus.QUEUED;
  private long endedAtMillis;

  Job(JobSpec spec, String service, long acceptedAtMillis) {
    this.spec = spec;
    this.service = service;
    this.acceptedAtMillis = acceptedAtMillis;
  }

  static Job restore(Image image) {
    Job job = new Job(image.spec(), image.service(), image.acceptedAtMillis());
    job.status = image.status();
    job.endedAtMillis = image.endedAtMillis();
    job.finishedOccurrences.restore(image.finishedBelow(), image.finishedOthers());
    for (TaskImage task : image.tasks()) {
      job.getOrCreateTask(task.id()).restore(task);
    }
    List.copyOf(job.openOccurrences.keySet()).forEach(job::discardIfFinished);
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

  /**
   * Returns the occurrences that are due and have tasks that wait for a worker: those that were
   * opened, and further ones if only a few of them have no task at work.
   */
  public List<Integer> dueOccurrences(long wallMillis) {
    List<Integer> due = new ArrayList<>();
    int allWaiting = 0;
    for (Map.Entry<Integer, Occurrence> open : openOccurrences.entrySet()) {
      if (open.getValue().isAnyWaiting() && isDue(open.getKey(), wallMillis)) {
        due.add(open.getKey());
        allWaiting += open.getValue().isAllWaiting() ? 1 : 0;
      }
    }
    for (int number = finishedOccurrences.below();
        allWaiting < MAX_WAITING_DUE && number < occurrences() && isDue(number, wallMillis);
        number++) {
      if (!openOccurrences.containsKey(number) && !finishedOccurrences.contains(number)) {
        due.add(number);
        allWaiting++;
      }
    }
    return due;
  }

  private boolean isDue(int occurrence, long wallMillis) {
    return spec.schedule().dueMillis(occurrence) <= wallMillis;
  }

  private int occurrences() {
    return spec.schedule().occurrences();
  }

  /** Returns the tasks of a step of an occurrence that have been created. */
  public Collection<Task> createdTasks(int occurrence, int step) {
    return occurrence(occurrence).step(step).created();
  }

  /** Iterates over the tasks of a step of an occurrence that wait for a worker. */
  public Iterator<Task> waitingTasks(int occurrence, int step) {
    return occurrence(occurrence).step(step).waiting();
  }

  /** Returns the tasks that have been created, which include all that were ever assigned. */
  public List<Task> createdTasks() {
    return openOccurrences.values().stream()
        .flatMap(occurrence -> occurrence.steps().stream())
        .flatMap(step -> step.created().stream())
        .toList();
  }

  /** Returns whether any task waits for a worker, even if its step is not ready yet. */
  public boolean isAnyWaiting() {
    return hasUnopenedOccurrences() || counts.isAnyWaiting();
  }

  private boolean hasUnopenedOccurrences() {
    return openOccurrences.size() + finishedOccurrences.size() < occurrences();
  }

  /** Returns the number of tasks of the step that wait for a worker. */
  public long countWaiting(int occurrence, int step) {
    return finishedOccurrences.contains(occurrence) ? 0 : counts(occurrence, step).waiting();
  }

  /** Returns a task, or null if it has not been created or its occurrence is finished. */
  public Task task(TaskId id) {
    Occurrence occurrence = openOccurrences.get(id.occurrence());
    return occurrence == null || !isStep(id.step())
        ? null
        : occurrence.step(id.step()).find(id.index());
  }

  /** Returns a task, or null if the job has no such task or its occurrence is finished. */
  Task getOrCreateTask(TaskId id) {
    boolean exists =
        id.occurrence() >= 0
            && id.occurrence() < occurrences()
            && !finishedOccurrences.contains(id.occurrence())
            && isStep(id.step());
    return exists ? occurrence(id.occurrence()).step(id.step()).getOrCreate(id.index()) : null;
  }

  private boolean isStep(int number) {
    return number >= 0 && number < spec.steps().size();
  }

  private Occurrence occurrence(int number) {
    return openOccurrences.computeIfAbsent(number, n -> new Occurrence(spec, n, counts));
  }

  /** Marks all tasks of a step as done, because one end of a gang represents all of its members. */
  void finishStep(int occurrence, int step) {
    occurrence(occurrence).step(step).finish();
  }

  /** Discards the tasks of an occurrence once all of them are done and none may be running. */
  void discardIfFinished(int number) {
    Occurrence occurrence = openOccurrences.get(number);
    if (occurrence != null && occurrence.isFinished()) {
      openOccurrences.remove(number);
      finishedOccurrences.add(number);
    }
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
    return occurrence(occurrence).step(step).counts();
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
    return !hasUnopenedOccurrences() && counts.isDone();
  }

  boolean isAnyAssigned() {
    return counts.isAnyAssigned();
  }

  /** Discards the tasks, payload and steps, so that ended jobs take little memory. */
  void discardWork() {
    spec = spec.withoutWork();
    openOccurrences.clear();
    finishedOccurrences.restore(0, List.of());
  }

  Image image() {
    List<TaskImage> images =
        createdTasks().stream().filter(task -> task.run() > 0).map(Task::image).toList();
    return new Image(
        spec,
        service,
        acceptedAtMillis,
        status,
        endedAtMillis,
        finishedOccurrences.below(),
        finishedOccurrences.others(),
        images);
  }
}
