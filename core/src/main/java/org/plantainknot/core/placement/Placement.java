package org.plantainknot.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.plantainknot.core.admission.WorkKind;

/**
 * Places jobs on workers.
 *
 * <p>A task runs under a lease that expires at a time on its worker's clock, counted from the
 * worker's last report. The report was sent before it was received here, so a lease that is counted
 * from the receipt and has expired here is guaranteed to have expired on the worker too (Gray and
 * Cheriton, "Leases", 1989). Only then is the job started again elsewhere. Not thread-safe.
 */
public final class Placement {

  private final PlacementTiming timing;
  private final Map<String, WorkerState> workers = new TreeMap<>();
  private final JobRegistry jobs = new JobRegistry();
  private final Map<String, Resources> quotas = new HashMap<>();
  private final Preemption preemption;
  private final SizeEstimates estimates = new SizeEstimates();

  /** Creates a placement without workers and jobs. */
  public Placement(PlacementTiming timing) {
    this.timing = timing;
    this.preemption = new Preemption(workers.values(), timing);
  }

  /** Adds a worker or updates its description. */
  public void putWorker(Worker worker) {
    workers.computeIfAbsent(worker.name(), w -> new WorkerState(worker)).update(worker);
  }

  /** Records a report that the worker sent when its own clock showed {@code workerMillis}. */
  public void recordReport(String worker, long workerMillis, long nowMillis) {
    workers.get(worker).recordReport(workerMillis, nowMillis);
  }

  /** Starts or stops draining a worker. */
  public void drain(String worker, boolean draining) {
    workers.get(worker).setDraining(draining);
  }

  /**
   * Returns whether the worker runs no task and none can still run there under an unexpired lease.
   */
  public boolean isIdle(String worker) {
    return !workers.containsKey(worker) || workers.get(worker).tasks().isEmpty();
  }

  /** Returns whether the worker gets no work because different jobs failed on it in a row. */
  public boolean isQuarantined(String worker, long nowMillis) {
    return workers.get(worker).isQuarantined(nowMillis);
  }

  /** Sets the quota of a team; queued jobs within it are placed before all others. */
  public void setQuota(String team, Resources limit) {
    quotas.put(team, limit);
  }

  /**
   * Submits a job. A job that is larger than every worker is refused at once; a repeated submission
   * returns the present view of the job.
   */
  public JobView submit(Job job) {
    JobState state = jobs.find(job.id());
    if (state == null) {
      state = jobs.add(job);
      Resources largest = largestCapacityFor(job.declared());
      if (!job.declared().fitsInto(largest)) {
        state.releaseWorker(
            JobPhase.REFUSED, "needs " + job.declared() + "; the largest worker has " + largest);
        jobs.retainIfEnded(state);
      }
    }
    return view(state);
  }

  /** Cancels a job: a queued one never starts, a running one is stopped. */
  public void cancel(String jobId) {
    JobState state = jobs.find(jobId);
    if (state == null || state.phase().isEnded()) {
      return;
    }
    state.cancel();
    if (state.phase() == JobPhase.QUEUED) {
      state.releaseWorker(JobPhase.CANCELLED, "cancelled");
      jobs.retainIfEnded(state);
    } else {
      state.setPhase(JobPhase.STOPPING);
    }
  }

  /** Records the reported resource usage of a task, which may be out of date. */
  public void recordUsage(String taskId, Resources used) {
    JobState state = jobs.findByTask(taskId);
    if (state != null && state.phase().isOccupying()) {
      state.setUsed(used);
      estimates.observe(state.job(), used);
    }
  }

  /** Handles a worker's report on a task; reports on earlier attempts are ignored. */
  public void report(String taskId, TaskReport report, long nowMillis) {
    JobState state = jobs.findByTask(taskId);
    if (state == null || !state.phase().isOccupying()) {
      return;
    }
    switch (report) {
      case FINISHED -> {
        state.worker().recordSuccess();
        state.releaseWorker(JobPhase.DONE, "finished");
      }
      case FAILED -> handleFailure(state, nowMillis);
      default -> requeueOrCancel(state);
    }
    jobs.retainIfEnded(state);
  }

  /** Updates leases and placements, and returns the orders to send to the workers. */
  public List<TaskOrder> plan(long nowMillis) {
    List<TaskOrder> orders = new ArrayList<>();
    expireLeases(nowMillis);
    orderCheckpointsAndStops(orders);
    extendLeases(orders, nowMillis);
    relieveOverload(orders);
    placeQueuedJobs(orders, nowMillis);
    return orders;
  }

  /** Returns the number of jobs that wait for a worker. */
  public long waiting() {
    return jobs.queued().count();
  }

  /** Returns a job, if it is known. */
  public Optional<JobView> job(String jobId) {
    return Optional.ofNullable(jobs.find(jobId)).map(Placement::view);
  }

  /**
   * Returns the jobs that have not ended and the most recently ended ones, in order of submission.
   */
  public Collection<JobView> jobs() {
    return jobs.stream().map(Placement::view).toList();
  }

  private void handleFailure(JobState state, long nowMillis) {
    WorkerState worker = state.worker();
    worker.recordFailure(state.job().id(), timing, nowMillis);
    int failedWorkers = state.recordFailureOn(worker.worker().name());
    if (state.isCancelled()) {
      state.releaseWorker(JobPhase.CANCELLED, "cancelled");
    } else if (failedWorkers >= timing.failuresToGiveUp()) {
      state.releaseWorker(JobPhase.FAILED, "failed on " + failedWorkers + " workers");
    } else {
      state.releaseWorker(JobPhase.QUEUED, "");
    }
  }

  private void requeueOrCancel(JobState state) {
    boolean cancelled = state.isCancelled();
    state.releaseWorker(
        cancelled ? JobPhase.CANCELLED : JobPhase.QUEUED, cancelled ? "cancelled" : "");
    jobs.retainIfEnded(state);
  }

  private void expireLeases(long nowMillis) {
    for (WorkerState worker : workers.values()) {
      List.copyOf(worker.tasks()).stream()
          .filter(task -> nowMillis > task.leaseUntilMillis() + timing.marginMillis())
          .forEach(this::requeueOrCancel);
    }
  }

  private void orderCheckpointsAndStops(List<TaskOrder> orders) {
    for (WorkerState worker : workers.values()) {
      for (JobState task : worker.tasks()) {
        if (worker.isDraining() && task.phase() == JobPhase.PLACED) {
          task.setPhase(JobPhase.CHECKPOINTING);
        }
        String name = worker.worker().name();
        if (task.phase() == JobPhase.CHECKPOINTING) {
          orders.add(new TaskOrder.Checkpoint(task.taskId(), name));
        } else if (task.phase() == JobPhase.STOPPING) {
          orders.add(new TaskOrder.Stop(task.taskId(), name));
        }
      }
    }
  }

  private void extendLeases(List<TaskOrder> orders, long nowMillis) {
    for (WorkerState worker : workers.values()) {
      if (!worker.isReachable(nowMillis, timing)) {
        continue;
      }
      for (JobState task : worker.tasks()) {
        if (task.phase() != JobPhase.STOPPING) {
          orders.add(renewLease(task, worker));
        }
      }
    }
  }

  /** Extends the task's lease and returns the order that tells the worker. */
  private TaskOrder.Run renewLease(JobState task, WorkerState worker) {
    task.extendLease(worker.lastReportMillis() + timing.leaseMillis());
    return new TaskOrder.Run(
        task.taskId(),
        task.job().id(),
        worker.worker().name(),
        worker.lastReportClockMillis() + timing.leaseMillis());
  }

  /**
   * On workers whose tasks turn out to need more than the capacity, throttles the least urgent
   * tasks, then checkpoints them if that is not enough. The most urgent task keeps running.
   */
  private void relieveOverload(List<TaskOrder> orders) {
    for (WorkerState worker : workers.values()) {
      if (!worker.reserved().fitsInto(worker.worker().capacity())) {
        List<JobState> leastUrgentFirst = worker.placedTasksLeastUrgentFirst();
        leastUrgentFirst.stream()
            .filter(task -> !worker.reserved().fitsInto(worker.worker().capacity()))
            .forEach(task -> throttle(task, worker, orders));
        leastUrgentFirst.stream()
            .limit(Math.max(0, leastUrgentFirst.size() - 1))
            .filter(task -> !worker.reservedByPlacedTasks().fitsInto(worker.worker().capacity()))
            .forEach(task -> checkpoint(task, orders));
      }
    }
  }

  private void throttle(JobState task, WorkerState worker, List<TaskOrder> orders) {
    boolean exceedsProcessor =
        worker.reserved().milliCores() > worker.worker().capacity().milliCores();
    if (!task.isThrottled() && exceedsProcessor) {
      task.throttle(timing.throttledFraction());
      orders.add(
          new TaskOrder.Throttle(
              task.taskId(), worker.worker().name(), timing.throttledFraction()));
    }
  }

  private static void checkpoint(JobState task, List<TaskOrder> orders) {
    task.setPhase(JobPhase.CHECKPOINTING);
    orders.add(new TaskOrder.Checkpoint(task.taskId(), task.worker().worker().name()));
  }

  private void placeQueuedJobs(List<TaskOrder> orders, long nowMillis) {
    Map<String, Resources> usedByTeam = usedByTeam();
    List<JobState> queued =
        jobs.queued()
            .sorted(
                Comparator.comparing((JobState s) -> !isInQuota(s, usedByTeam))
                    .thenComparing(JobState.BY_URGENCY))
            .toList();
    for (JobState state : queued) {
      state.setEstimate(estimatedSize(state.job()));
      WorkerState worker = bestWorkerFor(state, nowMillis);
      if (worker != null) {
        state.place(worker, 0);
        orders.add(renewLease(state, worker));
      } else if (state.job().kind() == WorkKind.URGENT && isInQuota(state, usedByTeam)) {
        preemption.victimsFor(state, nowMillis).forEach(victim -> checkpoint(victim, orders));
      }
    }
  }

  /** Caps the estimate at the capacity of a worker; a larger job would wait forever. */
  private Resources estimatedSize(Job job) {
    return estimates.estimate(job).min(largestCapacityFor(job.declared()));
  }

  private WorkerState bestWorkerFor(JobState state, long nowMillis) {
    Resources size = state.reserved();
    return workers.values().stream()
        .filter(worker -> worker.acceptsWork(nowMillis, timing))
        .filter(worker -> !state.hasFailedOn(worker.worker().name()))
        .filter(worker -> size.fitsInto(worker.free()))
        .min(
            Comparator.comparingLong((WorkerState w) -> w.free().accelerators())
                .thenComparingLong(w -> w.free().minus(size).milliCores()))
        .orElse(null);
  }

  private Map<String, Resources> usedByTeam() {
    Map<String, Resources> used = new HashMap<>();
    workers.values().stream()
        .flatMap(worker -> worker.tasks().stream())
        .forEach(task -> used.merge(task.job().team(), task.reserved(), Resources::plus));
    return used;
  }

  private boolean isInQuota(JobState state, Map<String, Resources> usedByTeam) {
    Resources quota = quotas.get(state.job().team());
    Resources used = usedByTeam.getOrDefault(state.job().team(), Resources.NONE);
    return quota != null && used.plus(state.reserved()).fitsInto(quota);
  }

  private Resources largestCapacityFor(Resources needed) {
    return workers.values().stream()
        .map(worker -> worker.worker().capacity())
        .max(
            Comparator.comparing((Resources capacity) -> needed.fitsInto(capacity))
                .thenComparingLong(Resources::milliCores))
        .orElse(Resources.NONE);
  }

  private static JobView view(JobState state) {
    String worker = state.worker() == null ? null : state.worker().worker().name();
    return new JobView(state.job(), state.phase(), worker, state.taskId(), state.reason());
  }
}
