package org.plantainknot.core.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.plantainknot.core.job.JobCommand.Assign;
import org.plantainknot.core.job.JobCommand.Cancel;
import org.plantainknot.core.job.JobCommand.GiveUpRuns;
import org.plantainknot.core.job.JobCommand.NoteEnds;
import org.plantainknot.core.job.JobCommand.OrderMachine;
import org.plantainknot.core.job.JobCommand.PutConfig;
import org.plantainknot.core.job.JobCommand.SettleMachine;
import org.plantainknot.core.job.JobCommand.StartWave;
import org.plantainknot.core.job.JobCommand.Submit;
import org.plantainknot.core.job.WaveProgress.MachinePhase;

/**
 * Replicated state of the configuration, jobs, runs and machine orders.
 *
 * <p>Deterministic: applying the same commands in the same order results in the same state on each
 * member. At most one run of a task may be running at any time: a run is assigned before its worker
 * is told to start it, and the task becomes available again only after the end of the run was
 * recorded or the run was given up. Not thread-safe.
 */
public final class JobLedger {

  /** Time for which an ended job is retained. */
  public static final long KEEP_ENDED_MILLIS = 300_000;

  private static final Comparator<Job> BY_END_TIME =
      Comparator.comparingLong(Job::endedAtMillis).thenComparing(job -> job.spec().id());

  /**
   * Copy of the state for snapshots.
   *
   * @param clockMillis time of the replicated log
   * @param config configuration in force
   * @param jobs all jobs
   * @param lastEnds sequence number of the last recorded end of each worker incarnation
   * @param waves all waves
   * @param orders pending machine orders
   * @param orderTimes times of the latest orders for machines, or null if they are unknown
   * @param earlyCancels cancellations of jobs that are unknown so far, or null if none are kept
   */
  public record Image(
      long clockMillis,
      FleetConfig config,
      List<Job.Image> jobs,
      List<LastEnd> lastEnds,
      List<WaveProgress.Image> waves,
      List<MachineOrder> orders,
      List<OrderTime> orderTimes,
      List<EarlyCancel> earlyCancels) {}

  /**
   * Sequence number of the last recorded end of a worker incarnation.
   *
   * @param worker worker incarnation
   * @param number sequence number of its last recorded end
   */
  public record LastEnd(WorkerIncarnation worker, long number) {}

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Set<Job> openJobs = new LinkedHashSet<>();
  private final NavigableSet<Job> closedJobs = new TreeSet<>(BY_END_TIME);
  private final Map<WorkerIncarnation, Long> lastEnds = new HashMap<>();
  private final Map<Long, WaveProgress> waves = new TreeMap<>();
  private final Map<String, MachineOrder> orders = new TreeMap<>();
  private final OrderLog orderLog = new OrderLog();
  private final EarlyCancels earlyCancels = new EarlyCancels();
  private FleetConfig config = FleetConfig.NONE;
  private QueueTable queues = new QueueTable(FleetConfig.NONE);
  private long clockMillis;
  private long openHeapBytes;

  /** Returns the configuration in force. */
  public FleetConfig config() {
    return config;
  }

  /** Returns the queue of the host whose path prefix is the longest match for the path. */
  public Optional<QueueConfig> route(String host, String path) {
    return queues.route(host, path);
  }

  /** Returns the queue with the given name. */
  public Optional<QueueConfig> queue(String name) {
    return queues.find(name);
  }

  /**
   * Returns whether the configuration in force names a service. Before the first configuration any
   * service may be one.
   */
  public boolean mayHaveWorkers(String service) {
    return config.isNone()
        || config.services().stream().anyMatch(known -> known.name().equals(service));
  }

  /** Returns the time of the replicated log, which is monotonic. */
  public long clockMillis() {
    return clockMillis;
  }

  /** Returns the job with the given identifier, if it is known. */
  public Optional<Job> job(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Returns the jobs that have not ended or have a run that may still be running. */
  public Collection<Job> openJobs() {
    return openJobs;
  }

  /** Returns an estimate of the heap that the specifications of the open jobs take. */
  public long openHeapBytes() {
    return openHeapBytes;
  }

  /** Returns the task with the given identifier, or null if it was never assigned or is unknown. */
  public Task task(TaskId id) {
    Job job = jobs.get(id.job());
    return job == null ? null : job.task(id);
  }

  /** Returns the sequence number of the last recorded end of a worker incarnation, or 0. */
  public long lastEnd(WorkerIncarnation worker) {
    return lastEnds.getOrDefault(worker, 0L);
  }

  /** Returns the wave with the given number, if it is known. */
  public Optional<WaveProgress> wave(long number) {
    return Optional.ofNullable(waves.get(number));
  }

  /** Returns all waves. */
  public Collection<WaveProgress> waves() {
    return waves.values();
  }

  /** Returns the pending machine orders. */
  public Collection<MachineOrder> orders() {
    return orders.values();
  }

  /**
   * Returns when each machine was last ordered, on the log's clock, or empty if orders of the
   * latest minute may be missing. A machine that is not listed was not ordered within a minute
   * before the latest snapshot, nor since.
   */
  public Optional<Map<String, Long>> orderTimes() {
    return orderLog.isComplete(clockMillis)
        ? Optional.of(orderLog.atMillisByMachine())
        : Optional.empty();
  }

  /** Returns the number of accepted jobs of a queue of which no task has started. */
  public long countQueuedJobs(String queue) {
    return openJobs.stream()
        .filter(job -> job.status() == JobStatus.QUEUED && job.spec().queue().equals(queue))
        .count();
  }

  /**
   * Applies a command.
   *
   * @param stampMillis timestamp of the command in the log
   * @param command command to apply
   */
  public Applied apply(long stampMillis, JobCommand command) {
    clockMillis = Math.max(clockMillis, stampMillis);
    if (command instanceof PutConfig put) {
      return putConfig(put.config());
    } else if (command instanceof Submit submit) {
      return submit(submit.spec());
    } else if (command instanceof Cancel cancel) {
      return cancel(cancel.job());
    } else if (command instanceof Assign assign) {
      assign.assignments().forEach(this::assign);
    } else if (command instanceof NoteEnds noteEnds) {
      recordEnds(noteEnds);
    } else if (command instanceof GiveUpRuns giveUp) {
      giveUp.runs().forEach(this::giveUp);
    } else if (command instanceof StartWave start) {
      return startWave(start.wave());
    } else if (command instanceof OrderMachine order) {
      orderLog.record(order.order().machine(), clockMillis);
      return recordOrder(order.order());
    } else if (command instanceof SettleMachine settle) {
      orderLog.record(settle.order().machine(), clockMillis);
      resolveOrder(settle.order(), settle.carriedOut());
    }
    return Applied.CHANGED;
  }

  /** Returns a copy of the state for a snapshot. */
  public Image image() {
    return new Image(
        clockMillis,
        config,
        jobs.values().stream().map(Job::image).toList(),
        lastEnds.entrySet().stream().map(e -> new LastEnd(e.getKey(), e.getValue())).toList(),
        waves.values().stream().map(WaveProgress::image).toList(),
        List.copyOf(orders.values()),
        orderLog.image(clockMillis),
        earlyCancels.image());
  }

  /** Replaces the state with that of a snapshot. */
  public void restore(Image image) {
    clockMillis = image.clockMillis();
    config = image.config();
    queues = new QueueTable(config);
    jobs.clear();
    openJobs.clear();
    openHeapBytes = 0;
    closedJobs.clear();
    lastEnds.clear();
    waves.clear();
    orders.clear();
    image.jobs().forEach(job -> add(Job.restore(job)));
    image.lastEnds().forEach(last -> lastEnds.put(last.worker(), last.number()));
    image.waves().forEach(wave -> waves.put(wave.wave().number(), WaveProgress.restore(wave)));
    image.orders().forEach(order -> orders.put(order.machine(), order));
    orderLog.restore(image.orderTimes(), image.clockMillis());
    earlyCancels.restore(image.earlyCancels());
  }

  private void add(Job job) {
    jobs.put(job.spec().id(), job);
    openJobs.add(job);
    openHeapBytes += job.spec().heapBytes();
    closeIfFinished(job);
  }

  private Applied putConfig(FleetConfig newConfig) {
    if (!config.isNone() && newConfig.version() <= config.version()) {
      return Applied.UNCHANGED;
    }
    config = newConfig;
    queues = new QueueTable(config);
    for (Job job : openJobs) {
      queue(job.spec().queue()).ifPresent(queue -> job.setService(queue.service()));
    }
    return Applied.CHANGED;
  }

  private Applied submit(JobSpec spec) {
    if (jobs.containsKey(spec.id())) {
      return Applied.UNCHANGED;
    }
    Optional<QueueConfig> queue = queue(spec.queue());
    if (queue.isEmpty()) {
      return Applied.UNKNOWN;
    }
    removeExpiredJobs();
    Job job = new Job(spec, queue.get().service(), clockMillis);
    add(job);
    if (earlyCancels.remove(spec.id(), clockMillis)) {
      endJob(job, JobStatus.CANCELLED);
    }
    return Applied.CHANGED;
  }

  private void removeExpiredJobs() {
    while (!closedJobs.isEmpty()
        && clockMillis - closedJobs.first().endedAtMillis() > KEEP_ENDED_MILLIS) {
      jobs.remove(closedJobs.pollFirst().spec().id());
    }
  }

  /**
   * Cancels a job. An unknown one stays cancelled too if its submission arrives later: its caller
   * is told that it doesn't exist, and so doesn't expect it to run.
   */
  private Applied cancel(String id) {
    Job job = jobs.get(id);
    if (job == null) {
      return earlyCancels.record(id, clockMillis) ? Applied.UNKNOWN : Applied.REFUSED;
    }
    if (job.status().isEnded()) {
      return Applied.UNCHANGED;
    }
    endJob(job, JobStatus.CANCELLED);
    return Applied.CHANGED;
  }

  private void assign(Assignment assignment) {
    Job job = jobs.get(assignment.run().task().job());
    if (job != null && !job.status().isEnded()) {
      Task task = job.getOrCreateTask(assignment.run().task());
      if (task != null && task.assign(assignment.run().run(), assignment.worker())) {
        job.markStarted();
      }
    }
  }

  private void recordEnds(NoteEnds noteEnds) {
    lastEnds.merge(noteEnds.worker(), noteEnds.lastEnd(), Math::max);
    for (RunEnd end : noteEnds.ends()) {
      Task task = currentTask(end.run());
      if (task != null && appliesTo(task, noteEnds.worker(), end.kind())) {
        recordEnd(jobs.get(task.id().job()), task, end);
      }
    }
  }

  /**
   * A start order identifies the worker without its incarnation, so a later incarnation than the
   * assigned one may have accepted the run. Work that is done stays done even if its run was given
   * up, because the worker discards the end.
   */
  private static boolean appliesTo(Task task, WorkerIncarnation incarnation, EndKind kind) {
    WorkerIncarnation assigned = task.worker();
    return assigned == null
        ? kind == EndKind.DONE && !task.isDone()
        : assigned.equals(incarnation) || assigned.isEarlierThan(incarnation);
  }

  private void recordEnd(Job job, Task task, RunEnd end) {
    task.end(end.kind(), end.checkpoint());
    TaskId id = task.id();
    if (task.step().gang()) {
      recordGangEnd(job, task, end);
    }
    if (!job.status().isEnded()) {
      boolean exhausted = task.failedRuns() >= maxAttempts(job) && !task.step().persistent();
      if (exhausted) {
        endJob(job, JobStatus.FAILED);
      } else if (end.kind() == EndKind.DONE && job.isAllDone()) {
        endJob(job, JobStatus.COMPLETED);
      }
    }
    job.discardIfFinished(id.occurrence());
    closeIfFinished(job);
  }

  private static void recordGangEnd(Job job, Task ended, RunEnd end) {
    TaskId id = ended.id();
    for (Task member : job.createdTasks(id.occurrence(), id.step())) {
      if (member != ended && !ended.checkpoint().isEmpty()) {
        member.shareCheckpoint(ended.checkpoint());
      }
    }
    if (end.kind() == EndKind.DONE && !ended.step().persistent()) {
      job.finishStep(id.occurrence(), id.step());
    }
  }

  private int maxAttempts(Job job) {
    return queue(job.spec().queue()).map(QueueConfig::maxAttempts).orElse(Integer.MAX_VALUE);
  }

  private void giveUp(RunId run) {
    Task task = currentTask(run);
    if (task != null && task.worker() != null) {
      task.giveUp();
      Job job = jobs.get(run.task().job());
      job.discardIfFinished(run.task().occurrence());
      closeIfFinished(job);
    }
  }

  private Task currentTask(RunId run) {
    Task task = task(run.task());
    return task != null && task.run() == run.run() ? task : null;
  }

  private void endJob(Job job, JobStatus endStatus) {
    job.end(endStatus, clockMillis);
    closeIfFinished(job);
  }

  private void closeIfFinished(Job job) {
    if (job.status().isEnded() && !job.isAnyAssigned() && openJobs.remove(job)) {
      openHeapBytes -= job.spec().heapBytes();
      job.discardWork();
      closedJobs.add(job);
    }
  }

  private Applied startWave(MaintenanceWave wave) {
    WaveProgress existing = waves.get(wave.number());
    if (existing == null) {
      waves.put(wave.number(), new WaveProgress(wave, clockMillis));
      return Applied.CHANGED;
    }
    return existing.wave().equals(wave) ? Applied.UNCHANGED : Applied.REFUSED;
  }

  private Applied recordOrder(MachineOrder order) {
    if (orders.containsKey(order.machine())) {
      return Applied.REFUSED;
    }
    if (!order.isMove()) {
      WaveProgress wave = waves.get(order.wave());
      boolean wasDue =
          wave != null && wave.transition(order.machine(), MachinePhase.DUE, MachinePhase.ORDERED);
      if (!wasDue) {
        return Applied.REFUSED;
      }
    }
    orders.put(order.machine(), order);
    return Applied.CHANGED;
  }

  private void resolveOrder(MachineOrder order, boolean carriedOut) {
    if (orders.remove(order.machine(), order) && !order.isMove()) {
      MachinePhase next = carriedOut ? MachinePhase.BEGUN : MachinePhase.DUE;
      waves.get(order.wave()).transition(order.machine(), MachinePhase.ORDERED, next);
    }
  }

  /** Returns the tasks with a run that may be running, for reports and for a new leader. */
  public List<Task> assignedTasks() {
    return openJobs.stream()
        .filter(Job::isAnyAssigned)
        .flatMap(job -> job.createdTasks().stream())
        .filter(task -> task.worker() != null)
        .toList();
  }
}
