package org.plantainknot.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.plantainknot.core.admission.WorkKind;

/**
 * Places jobs on workers.
 *
 * <p>A task runs under a lease that ends at a time on its worker's clock, counted from the worker's
 * last report. The report was sent before it was heard here, so that a lease counted from then has
 * surely run out on the worker too (Gray and Cheriton, "Leases", 1989); only then a job starts
 * again elsewhere. Not thread-safe.
 */
public final class Placement {

  private static final int MAX_ENDED = 10_000;

  private final PlacementTiming timing;
  private final Map<String, WorkerState> workers = new TreeMap<>();
  private final Map<String, JobState> jobs = new LinkedHashMap<>();
  private final Map<String, Resources> quotas = new HashMap<>();
  private final SizeEstimates estimates = new SizeEstimates();
  private final Set<JobState> open = new LinkedHashSet<>();
  private final Deque<String> ended = new ArrayDeque<>();
  private long nextOrder;

  /** Creates a placement without workers and jobs. */
  public Placement(PlacementTiming timing) {
    this.timing = timing;
  }

  /** Takes over a worker's description. */
  public void describe(Worker worker) {
    workers.computeIfAbsent(worker.name(), w -> new WorkerState(worker)).describe(worker);
  }

  /** Takes a sign of life that the worker sent when its own clock showed {@code workerMillis}. */
  public void heard(String worker, long workerMillis, long nowMillis) {
    workers.get(worker).heard(workerMillis, nowMillis);
  }

  /** Starts or ends the drain of a worker. */
  public void drain(String worker, boolean on) {
    workers.get(worker).setDraining(on);
  }

  /** Returns whether no task is on the worker, nor can be under an unexpired lease. */
  public boolean isIdle(String worker) {
    return !workers.containsKey(worker) || workers.get(worker).tasks().isEmpty();
  }

  /** Returns whether the worker gets no work for its failures. */
  public boolean isQuarantined(String worker, long nowMillis) {
    return workers.get(worker).isQuarantined(nowMillis);
  }

  /** Sets the amount up to which a team's work goes first. */
  public void quota(String team, Resources amount) {
    quotas.put(team, amount);
  }

  /** Takes a job; one that can never run is refused at once, and a repeated one is the same. */
  public JobView submit(Job job) {
    JobState state = jobs.get(job.id());
    if (state == null) {
      state = new JobState(job, nextOrder++);
      jobs.put(job.id(), state);
      open.add(state);
      Resources largest = largestFor(job.declared());
      if (!job.declared().fitsInto(largest)) {
        state.leave(
            JobPhase.REFUSED, "needs " + job.declared() + "; the largest worker has " + largest);
        forgetOldest(state);
      }
    }
    return view(state);
  }

  /** Cancels a job: a waiting one never starts, a running one is stopped. */
  public void cancel(String jobId) {
    JobState state = jobs.get(jobId);
    if (state == null || state.phase().isEnded()) {
      return;
    }
    state.cancel();
    if (state.phase() == JobPhase.QUEUED) {
      state.leave(JobPhase.CANCELLED, "cancelled");
      forgetOldest(state);
    } else {
      state.wind(JobPhase.STOPPING);
    }
  }

  /** Takes a lagging report of what a task uses. */
  public void use(String taskId, Resources used) {
    JobState state = stateOf(taskId);
    if (state != null && state.phase().isOccupying()) {
      state.used(used);
      estimates.observe(state.job(), used);
    }
  }

  /** Takes a worker's report of a task; reports of earlier attempts change nothing. */
  public void report(String taskId, TaskReport report, long nowMillis) {
    JobState state = stateOf(taskId);
    if (state == null || !state.phase().isOccupying()) {
      return;
    }
    switch (report) {
      case FINISHED -> {
        state.worker().succeeded();
        state.leave(JobPhase.DONE, "finished");
      }
      case FAILED -> failed(state, nowMillis);
      default -> vacate(state);
    }
    forgetOldest(state);
  }

  /** Returns what the workers are to be told now. */
  public List<TaskOrder> plan(long nowMillis) {
    List<TaskOrder> orders = new ArrayList<>();
    expireLeases(nowMillis);
    orderEnds(orders);
    extendLeases(orders, nowMillis);
    relieveOverload(orders);
    placeQueued(orders, nowMillis);
    return orders;
  }

  /** Returns the number of jobs that wait for a worker. */
  public long waiting() {
    return open.stream().filter(state -> state.phase() == JobPhase.QUEUED).count();
  }

  /** Returns a job, if it is known. */
  public Optional<JobView> job(String jobId) {
    return Optional.ofNullable(jobs.get(jobId)).map(Placement::view);
  }

  /**
   * Returns the jobs that have not ended, and the latest that have, in the order in which they
   * came.
   */
  public Collection<JobView> jobs() {
    return jobs.values().stream().map(Placement::view).toList();
  }

  private void failed(JobState state, long nowMillis) {
    WorkerState worker = state.worker();
    worker.failed(state.job().id(), timing, nowMillis);
    int different = state.failedOn(worker.worker().name());
    if (state.isCancelled()) {
      state.leave(JobPhase.CANCELLED, "cancelled");
    } else if (different >= timing.failuresToGiveUp()) {
      state.leave(JobPhase.FAILED, "failed on " + different + " workers");
    } else {
      state.leave(JobPhase.QUEUED, "");
    }
  }

  private void vacate(JobState state) {
    boolean gone = state.isCancelled();
    state.leave(gone ? JobPhase.CANCELLED : JobPhase.QUEUED, gone ? "cancelled" : "");
    forgetOldest(state);
  }

  /** Keeps the latest of the jobs that have ended, for reports and resends. */
  private void forgetOldest(JobState state) {
    if (state.phase().isEnded() && open.remove(state)) {
      ended.add(state.job().id());
      if (ended.size() > MAX_ENDED) {
        jobs.remove(ended.remove());
      }
    }
  }

  private void expireLeases(long nowMillis) {
    for (WorkerState worker : workers.values()) {
      List.copyOf(worker.tasks()).stream()
          .filter(task -> nowMillis > task.leaseUntilMillis() + timing.marginMillis())
          .forEach(this::vacate);
    }
  }

  private void orderEnds(List<TaskOrder> orders) {
    for (WorkerState worker : workers.values()) {
      for (JobState task : worker.tasks()) {
        if (worker.isDraining() && task.phase() == JobPhase.PLACED) {
          task.wind(JobPhase.CHECKPOINTING);
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
          orders.add(run(task, worker));
        }
      }
    }
  }

  private TaskOrder.Run run(JobState task, WorkerState worker) {
    task.extendLease(worker.heardAtMillis() + timing.leaseMillis());
    return new TaskOrder.Run(
        task.taskId(),
        task.job().id(),
        worker.worker().name(),
        worker.workerMillis() + timing.leaseMillis());
  }

  /** Where tasks turn out larger than thought, the least urgent is throttled, then checkpointed. */
  private void relieveOverload(List<TaskOrder> orders) {
    for (WorkerState worker : workers.values()) {
      if (!worker.reserved().fitsInto(worker.worker().capacity())) {
        List<JobState> leastUrgentFirst =
            worker.tasks().stream()
                .filter(task -> task.phase() == JobPhase.PLACED)
                .sorted(byUrgency().reversed())
                .toList();
        leastUrgentFirst.stream()
            .filter(task -> !worker.reserved().fitsInto(worker.worker().capacity()))
            .forEach(task -> throttle(task, worker, orders));
        leastUrgentFirst.stream()
            .limit(Math.max(0, leastUrgentFirst.size() - 1))
            .filter(task -> !reservedAfterEnds(worker).fitsInto(worker.worker().capacity()))
            .forEach(task -> checkpoint(task, worker, orders));
      }
    }
  }

  private void throttle(JobState task, WorkerState worker, List<TaskOrder> orders) {
    boolean tooMuchProcessor =
        worker.reserved().milliCores() > worker.worker().capacity().milliCores();
    if (!task.isThrottled() && tooMuchProcessor) {
      task.throttle(timing.throttledPart());
      orders.add(
          new TaskOrder.Throttle(task.taskId(), worker.worker().name(), timing.throttledPart()));
    }
  }

  private void checkpoint(JobState task, WorkerState worker, List<TaskOrder> orders) {
    task.wind(JobPhase.CHECKPOINTING);
    orders.add(new TaskOrder.Checkpoint(task.taskId(), worker.worker().name()));
  }

  private static Resources reservedAfterEnds(WorkerState worker) {
    return worker.tasks().stream()
        .filter(task -> task.phase() == JobPhase.PLACED)
        .map(JobState::reserved)
        .reduce(Resources.NONE, Resources::plus);
  }

  private void placeQueued(List<TaskOrder> orders, long nowMillis) {
    Map<String, Resources> usedByTeam = usedByTeam();
    List<JobState> queued =
        open.stream()
            .filter(state -> state.phase() == JobPhase.QUEUED)
            .sorted(
                Comparator.comparing((JobState s) -> !isInQuota(s, usedByTeam))
                    .thenComparing(byUrgency()))
            .toList();
    for (JobState state : queued) {
      state.estimate(sizeFor(state.job()));
      WorkerState worker = bestFor(state, nowMillis);
      if (worker != null) {
        state.place(worker, 0);
        orders.add(run(state, worker));
      } else if (state.job().kind() == WorkKind.URGENT && isInQuota(state, usedByTeam)) {
        makeRoom(state, orders, nowMillis);
      }
    }
  }

  /** An estimate is never larger than a worker, or the job would wait for ever. */
  private Resources sizeFor(Job job) {
    return estimates.estimate(job).min(largestFor(job.declared()));
  }

  private WorkerState bestFor(JobState state, long nowMillis) {
    Resources size = state.reserved();
    return workers.values().stream()
        .filter(worker -> worker.takesWork(nowMillis, timing))
        .filter(worker -> !state.hasFailedOn(worker.worker().name()))
        .filter(worker -> size.fitsInto(worker.free()))
        .min(
            Comparator.comparingLong((WorkerState w) -> w.free().accelerators())
                .thenComparingLong(w -> w.free().minus(size).milliCores()))
        .orElse(null);
  }

  /** Checkpoints the least urgent tasks of the worker where the fewest have to go. */
  private void makeRoom(JobState state, List<TaskOrder> orders, long nowMillis) {
    if (otherThanUrgent() <= timing.floor() || isRoomComing(state, nowMillis)) {
      return;
    }
    Resources size = state.reserved();
    workers.values().stream()
        .filter(worker -> worker.takesWork(nowMillis, timing))
        .filter(worker -> size.fitsInto(worker.worker().capacity()))
        .map(worker -> victimsFor(size, worker))
        .filter(victims -> !victims.isEmpty())
        .min(Comparator.comparingInt(List::size))
        .ifPresent(victims -> victims.forEach(v -> checkpoint(v, v.worker(), orders)));
  }

  private static List<JobState> victimsFor(Resources size, WorkerState worker) {
    List<JobState> victims = new ArrayList<>();
    Resources free = worker.free();
    List<JobState> leastUrgentFirst =
        worker.tasks().stream()
            .filter(task -> task.phase() == JobPhase.PLACED)
            .filter(task -> task.job().kind() != WorkKind.URGENT)
            .sorted(byUrgency().reversed())
            .toList();
    for (JobState task : leastUrgentFirst) {
      if (size.fitsInto(free)) {
        break;
      }
      victims.add(task);
      free = free.plus(task.reserved());
    }
    return size.fitsInto(free) ? victims : List.of();
  }

  private boolean isRoomComing(JobState state, long nowMillis) {
    Resources size = state.reserved();
    return workers.values().stream()
        .filter(worker -> worker.takesWork(nowMillis, timing))
        .filter(w -> w.tasks().stream().anyMatch(t -> t.phase() == JobPhase.CHECKPOINTING))
        .anyMatch(w -> size.fitsInto(w.worker().capacity().minus(reservedAfterEnds(w))));
  }

  /** Returns the part of all processors that work other than urgent has reserved. */
  private double otherThanUrgent() {
    long all = workers.values().stream().mapToLong(w -> w.worker().capacity().milliCores()).sum();
    long others =
        workers.values().stream()
            .flatMap(worker -> worker.tasks().stream())
            .filter(task -> task.job().kind() != WorkKind.URGENT)
            .filter(task -> task.phase() == JobPhase.PLACED)
            .mapToLong(task -> task.reserved().milliCores())
            .sum();
    return all == 0 ? 0 : (double) others / all;
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

  private Resources largestFor(Resources needed) {
    return workers.values().stream()
        .map(worker -> worker.worker().capacity())
        .max(
            Comparator.comparing((Resources capacity) -> needed.fitsInto(capacity))
                .thenComparingLong(Resources::milliCores))
        .orElse(Resources.NONE);
  }

  /** Returns the job whose latest attempt the task is, or null. */
  private JobState stateOf(String taskId) {
    JobState state = jobs.get(taskId.substring(0, Math.max(0, taskId.lastIndexOf('#'))));
    return state != null && state.taskId().equals(taskId) ? state : null;
  }

  private static Comparator<JobState> byUrgency() {
    return Comparator.comparing((JobState state) -> state.job().kind())
        .thenComparingLong(JobState::order);
  }

  private static JobView view(JobState state) {
    String worker = state.worker() == null ? null : state.worker().worker().name();
    return new JobView(state.job(), state.phase(), worker, state.taskId(), state.reason());
  }
}
