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
 * Replicated record of the configuration, the jobs, their runs and the machine orders.
 *
 * <p>The same commands in the same order lead to the same state on each member. A task has at most
 * one run that may be running: it is assigned before its worker hears of it, and is free again only
 * when the run's end was noted or the run was given up. Not thread-safe.
 */
public final class JobLedger {

  /** Time for which an ended job is still known. */
  public static final long KEEP_ENDED_MILLIS = 300_000;

  private static final Comparator<Job> BY_END =
      Comparator.comparingLong(Job::endedAtMillis).thenComparing(job -> job.spec().id());

  /**
   * Copy of the state, for snapshots.
   *
   * @param clockMillis time of the log
   * @param config configuration in force
   * @param jobs all jobs
   * @param lastEnds number of the last end noted, for each life of a worker
   * @param waves all waves
   * @param orders machine orders that are not settled
   */
  public record Image(
      long clockMillis,
      FleetConfig config,
      List<Job.Image> jobs,
      List<LastEnd> lastEnds,
      List<WaveProgress.Image> waves,
      List<MachineOrder> orders) {}

  /**
   * Number of the last end noted of a life of a worker.
   *
   * @param worker the worker
   * @param number the number
   */
  public record LastEnd(WorkerLife worker, long number) {}

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Set<Job> open = new LinkedHashSet<>();
  private final NavigableSet<Job> closed = new TreeSet<>(BY_END);
  private final Map<WorkerLife, Long> lastEnds = new HashMap<>();
  private final Map<Long, WaveProgress> waves = new TreeMap<>();
  private final Map<String, MachineOrder> orders = new TreeMap<>();
  private FleetConfig config = FleetConfig.NONE;
  private QueueTable queues = new QueueTable(FleetConfig.NONE);
  private long clockMillis;

  /** Returns the configuration in force. */
  public FleetConfig config() {
    return config;
  }

  /** Returns the queue of a host with the longest prefix that the path begins with. */
  public Optional<QueueConfig> route(String host, String path) {
    return queues.route(host, path);
  }

  /** Returns the queue of a name. */
  public Optional<QueueConfig> queue(String name) {
    return queues.find(name);
  }

  /** Returns the time of the log, which never goes back. */
  public long clockMillis() {
    return clockMillis;
  }

  /** Returns a job, if it is known. */
  public Optional<Job> job(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Returns the jobs that have not ended, or that have a run which may be running. */
  public Collection<Job> openJobs() {
    return open;
  }

  /** Returns a task, or null if it isn't known. */
  public Task task(TaskId id) {
    Job job = jobs.get(id.job());
    return job == null ? null : job.task(id);
  }

  /** Returns the number of the last end noted of a worker's life, or 0. */
  public long lastEnd(WorkerLife worker) {
    return lastEnds.getOrDefault(worker, 0L);
  }

  /** Returns a wave, if it is known. */
  public Optional<WaveProgress> wave(long number) {
    return Optional.ofNullable(waves.get(number));
  }

  /** Returns the waves. */
  public Collection<WaveProgress> waves() {
    return waves.values();
  }

  /** Returns the machine orders that are not settled. */
  public Collection<MachineOrder> orders() {
    return orders.values();
  }

  /** Returns the number of accepted jobs of a queue of which no task was started. */
  public long waiting(String queue) {
    return open.stream()
        .filter(job -> job.status() == JobStatus.QUEUED && job.spec().queue().equals(queue))
        .count();
  }

  /** Applies a command. */
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
    } else if (command instanceof NoteEnds note) {
      noteEnds(note);
    } else if (command instanceof GiveUpRuns giveUp) {
      giveUp.runs().forEach(this::giveUp);
    } else if (command instanceof StartWave start) {
      return startWave(start.wave());
    } else if (command instanceof OrderMachine order) {
      return order(order.order());
    } else if (command instanceof SettleMachine settle) {
      settle(settle.order(), settle.carriedOut());
    }
    return Applied.CHANGED;
  }

  /** Returns a copy for a snapshot. */
  public Image image() {
    return new Image(
        clockMillis,
        config,
        jobs.values().stream().map(Job::image).toList(),
        lastEnds.entrySet().stream().map(e -> new LastEnd(e.getKey(), e.getValue())).toList(),
        waves.values().stream().map(WaveProgress::image).toList(),
        List.copyOf(orders.values()));
  }

  /** Replaces the state by that of a snapshot. */
  public void restore(Image image) {
    clockMillis = image.clockMillis();
    config = image.config();
    queues = new QueueTable(config);
    jobs.clear();
    open.clear();
    closed.clear();
    lastEnds.clear();
    waves.clear();
    orders.clear();
    image.jobs().forEach(copy -> add(Job.restore(copy)));
    image.lastEnds().forEach(last -> lastEnds.put(last.worker(), last.number()));
    image.waves().forEach(copy -> waves.put(copy.wave().number(), WaveProgress.restore(copy)));
    image.orders().forEach(order -> orders.put(order.machine(), order));
  }

  private void add(Job job) {
    jobs.put(job.spec().id(), job);
    open.add(job);
    closeIfOver(job);
  }

  private Applied putConfig(FleetConfig changed) {
    if (!config.isNone() && changed.version() <= config.version()) {
      return Applied.UNCHANGED;
    }
    config = changed;
    queues = new QueueTable(config);
    for (Job job : open) {
      queue(job.spec().queue()).ifPresent(queue -> job.serveBy(queue.service()));
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
    forgetOldJobs();
    add(new Job(spec, queue.get().service(), clockMillis));
    return Applied.CHANGED;
  }

  private void forgetOldJobs() {
    while (!closed.isEmpty() && clockMillis - closed.first().endedAtMillis() > KEEP_ENDED_MILLIS) {
      jobs.remove(closed.pollFirst().spec().id());
    }
  }

  private Applied cancel(String id) {
    Job job = jobs.get(id);
    if (job == null) {
      return Applied.UNKNOWN;
    }
    if (job.status().isEnded()) {
      return Applied.UNCHANGED;
    }
    finish(job, JobStatus.CANCELLED);
    return Applied.CHANGED;
  }

  private void assign(Assignment assignment) {
    Job job = jobs.get(assignment.run().task().job());
    if (job != null && !job.status().isEnded()) {
      Task task = job.task(assignment.run().task());
      if (task.assign(assignment.run().run(), assignment.worker())) {
        job.started();
      }
    }
  }

  private void noteEnds(NoteEnds note) {
    lastEnds.merge(note.worker(), note.lastEnd(), Math::max);
    for (RunEnd end : note.ends()) {
      Task task = currentTask(end.run());
      if (task != null && mayRunOn(task, note.worker())) {
        noteEnd(jobs.get(task.id().job()), task, end);
      }
    }
  }

  /** A start names the worker only, so that a later life of it may have taken the run. */
  private static boolean mayRunOn(Task task, WorkerLife life) {
    WorkerLife assigned = task.worker();
    return assigned != null && (assigned.equals(life) || assigned.isEarlierThan(life));
  }

  private void noteEnd(Job job, Task task, RunEnd end) {
    task.end(end.kind(), end.checkpoint());
    TaskId id = task.id();
    if (task.step().gang()) {
      noteGangEnd(job.tasks(id.occurrence(), id.step()), task, end);
    }
    if (!job.status().isEnded()) {
      boolean exhausted = task.failedRuns() >= maxAttempts(job) && !task.step().persistent();
      if (exhausted) {
        finish(job, JobStatus.FAILED);
      } else if (end.kind() == EndKind.DONE && job.isAllDone()) {
        finish(job, JobStatus.COMPLETED);
      }
    }
    closeIfOver(job);
  }

  private static void noteGangEnd(List<Task> gang, Task ended, RunEnd end) {
    for (Task member : gang) {
      if (member != ended && !ended.checkpoint().isEmpty()) {
        member.shareCheckpoint(ended.checkpoint());
      }
      if (end.kind() == EndKind.DONE) {
        member.finish();
      }
    }
  }

  private int maxAttempts(Job job) {
    return queue(job.spec().queue()).map(QueueConfig::maxAttempts).orElse(Integer.MAX_VALUE);
  }

  private void giveUp(RunId run) {
    Task task = currentTask(run);
    if (task != null && task.worker() != null) {
      task.giveUp();
      closeIfOver(jobs.get(run.task().job()));
    }
  }

  private Task currentTask(RunId run) {
    Task task = task(run.task());
    return task != null && task.run() == run.run() ? task : null;
  }

  private void finish(Job job, JobStatus how) {
    job.finish(how, clockMillis);
    closeIfOver(job);
  }

  private void closeIfOver(Job job) {
    if (job.status().isEnded() && !job.mayRun() && open.remove(job)) {
      job.dropWork();
      closed.add(job);
    }
  }

  private Applied startWave(MaintenanceWave wave) {
    WaveProgress known = waves.get(wave.number());
    if (known == null) {
      waves.put(wave.number(), new WaveProgress(wave, clockMillis));
      return Applied.CHANGED;
    }
    return known.wave().equals(wave) ? Applied.UNCHANGED : Applied.REFUSED;
  }

  private Applied order(MachineOrder order) {
    if (orders.containsKey(order.machine())) {
      return Applied.REFUSED;
    }
    if (!order.isMove()) {
      WaveProgress wave = waves.get(order.wave());
      boolean due =
          wave != null && wave.move(order.machine(), MachinePhase.DUE, MachinePhase.ORDERED);
      if (!due) {
        return Applied.REFUSED;
      }
    }
    orders.put(order.machine(), order);
    return Applied.CHANGED;
  }

  private void settle(MachineOrder order, boolean carriedOut) {
    if (orders.remove(order.machine(), order) && !order.isMove()) {
      MachinePhase next = carriedOut ? MachinePhase.BEGUN : MachinePhase.DUE;
      waves.get(order.wave()).move(order.machine(), MachinePhase.ORDERED, next);
    }
  }

  /** Returns the runs that may be running, for reports and for a new leader. */
  public List<Task> assignedTasks() {
    return open.stream()
        .filter(Job::mayRun)
        .flatMap(job -> job.tasks().stream())
        .filter(task -> task.worker() != null)
        .toList();
  }
}
