package org.plantainknot.bench.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.plantainknot.core.admission.WorkKind;
import org.plantainknot.core.placement.Job;
import org.plantainknot.core.placement.JobView;
import org.plantainknot.core.placement.Placement;
import org.plantainknot.core.placement.PlacementTiming;
import org.plantainknot.core.placement.Resources;
import org.plantainknot.core.placement.TaskOrder;
import org.plantainknot.core.placement.TaskReport;
import org.plantainknot.core.placement.Worker;

/**
 * Simulates job placement in virtual time. Declared sizes are wrong by a factor of up to four in
 * either direction.
 *
 * <p>When the tasks of a worker demand more processor than it has, all of them slow down by the
 * same factor. When memory is exhausted, the worker kills its largest task, whose progress is lost.
 * One rack is partitioned for a minute.
 */
final class PlacementSimulation {

  private static final int WORKERS = 35;
  private static final int WORKERS_PER_RACK = 4;
  private static final Resources CAPACITY = new Resources(16_000, 32_768, 0);
  private static final long STEP_MILLIS = 100;
  private static final long REPORT_MILLIS = 2_000;
  private static final long CHECKPOINT_MILLIS = 800;
  private static final long PARTITION_START_MILLIS = 300_000;
  private static final long PARTITION_END_MILLIS = 360_000;
  private static final int PROFILES = 20;
  private static final int BACKLOG = 120;

  /** Actual size and remaining work of a job. */
  private static final class SimulatedJob {
    private Resources actualSize;
    private double totalSeconds;
    private double remainingMilliCoreSeconds;
    private long submittedAtMillis;
    private boolean started;
  }

  private static final class SimulatedTask {
    private String jobId;
    private String worker;
    private long expiresAtMillis;
    private long stopAtMillis = Long.MAX_VALUE;
    private double cpuFraction = 1;
  }

  private final SplittableRandom random;
  private final boolean reportsUsage;
  private final Placement placement = new Placement(PlacementTiming.DEFAULT);
  private final double[] sizeErrorByProfile = new double[PROFILES];
  private final Map<String, SimulatedJob> jobById = new HashMap<>();
  private final Map<String, SimulatedTask> tasks = new HashMap<>();
  private final Set<String> startedTaskIds = new HashSet<>();
  private final List<Long> urgentWaits = new ArrayList<>();
  private long nowMillis;
  private int submittedJobs;
  private int duplicatedTasks;
  private double finishedMilliCoreSeconds;

  PlacementSimulation(long seed, boolean reportsUsage) {
    this.random = new SplittableRandom(seed);
    this.reportsUsage = reportsUsage;
    for (int i = 0; i < PROFILES; i++) {
      sizeErrorByProfile[i] = Math.pow(4, 2 * random.nextDouble() - 1);
    }
    for (int i = 0; i < WORKERS; i++) {
      placement.putWorker(new Worker("w" + i, CAPACITY));
    }
    placement.setQuota("counter", CAPACITY.scaled(WORKERS / 4.0));
  }

  /** Runs for a time and returns the fraction of processor time spent on finished jobs. */
  double run(long millis) {
    while (nowMillis < millis) {
      nowMillis += STEP_MILLIS;
      submitJobs();
      sendHeartbeats();
      placement.plan(nowMillis).forEach(this::execute);
      runTasks();
      if (reportsUsage && nowMillis % REPORT_MILLIS == 0) {
        reportUsage();
      }
    }
    return finishedMilliCoreSeconds / (millis / 1_000.0 * WORKERS * CAPACITY.milliCores());
  }

  int duplicatedTasks() {
    return duplicatedTasks;
  }

  /** Returns the 99th percentile of the start delay of urgent jobs, or -1 if none started. */
  long urgentStartP99Millis() {
    List<Long> sorted = urgentWaits.stream().sorted().toList();
    return sorted.isEmpty() ? -1 : sorted.get((int) (sorted.size() * 0.99));
  }

  private void submitJobs() {
    long queued = placement.waiting();
    for (long i = queued; i < BACKLOG; i++) {
      submit(WorkKind.BULK, "mills");
    }
    if (nowMillis % 2_000 == 0) {
      submit(WorkKind.URGENT, "counter");
    }
  }

  private void submit(WorkKind kind, String team) {
    int profile = random.nextInt(PROFILES);
    SimulatedJob job = new SimulatedJob();
    double milliCores = 1_000 + random.nextInt(3_000);
    job.actualSize = new Resources((long) milliCores, 1_024 + random.nextInt(6_000), 0);
    job.totalSeconds = 20 + random.nextInt(60);
    job.remainingMilliCoreSeconds = milliCores * job.totalSeconds;
    job.submittedAtMillis = nowMillis;
    Resources declared = job.actualSize.scaled(1 / sizeErrorByProfile[profile]).min(CAPACITY);
    String id = "job" + submittedJobs++;
    jobById.put(id, job);
    placement.submit(new Job(id, team, "profile" + profile, kind, declared));
  }

  private void sendHeartbeats() {
    for (int i = 0; i < WORKERS; i++) {
      if (!isPartitioned("w" + i)) {
        placement.recordReport("w" + i, nowMillis, nowMillis);
      }
    }
  }

  private boolean isPartitioned(String worker) {
    boolean duringPartition =
        nowMillis >= PARTITION_START_MILLIS && nowMillis < PARTITION_END_MILLIS;
    return duringPartition && Integer.parseInt(worker.substring(1)) < WORKERS_PER_RACK;
  }

  private void execute(TaskOrder order) {
    SimulatedTask task = tasks.get(order.taskId());
    if (order instanceof TaskOrder.Run run) {
      if (!isPartitioned(run.worker())) {
        start(run, task);
      }
    } else if (order instanceof TaskOrder.Throttle throttle && task != null) {
      task.cpuFraction = throttle.fraction();
    } else if (task != null && !isPartitioned(task.worker)) {
      task.stopAtMillis = Math.min(task.stopAtMillis, nowMillis + CHECKPOINT_MILLIS);
    }
  }

  private void start(TaskOrder.Run run, SimulatedTask current) {
    if (current != null) {
      current.expiresAtMillis = run.untilWorkerMillis();
    } else if (startedTaskIds.add(run.taskId())) {
      SimulatedTask task = new SimulatedTask();
      task.jobId = run.jobId();
      task.worker = run.worker();
      task.expiresAtMillis = run.untilWorkerMillis();
      boolean alreadyRunning = tasks.values().stream().anyMatch(t -> t.jobId.equals(run.jobId()));
      duplicatedTasks += alreadyRunning ? 1 : 0;
      tasks.put(run.taskId(), task);
      recordStart(run.jobId());
    }
  }

  private void recordStart(String jobId) {
    SimulatedJob job = jobById.get(jobId);
    boolean urgent = placement.job(jobId).get().job().kind() == WorkKind.URGENT;
    if (urgent && !job.started) {
      urgentWaits.add(nowMillis - job.submittedAtMillis);
    }
    job.started = true;
  }

  private void runTasks() {
    Map<String, List<Map.Entry<String, SimulatedTask>>> byWorker = new HashMap<>();
    tasks.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(e -> byWorker.computeIfAbsent(e.getValue().worker, w -> new ArrayList<>()).add(e));
    byWorker.forEach((worker, running) -> runWorker(running));
  }

  private void runWorker(List<Map.Entry<String, SimulatedTask>> running) {
    double requestedMilliCores =
        running.stream().mapToDouble(e -> milliCoresOf(e.getValue())).sum();
    double speed = Math.min(1, CAPACITY.milliCores() / requestedMilliCores);
    for (Map.Entry<String, SimulatedTask> entry : running) {
      SimulatedJob job = jobById.get(entry.getValue().jobId);
      job.remainingMilliCoreSeconds -= milliCoresOf(entry.getValue()) * speed * STEP_MILLIS / 1_000;
      if (job.remainingMilliCoreSeconds <= 0) {
        finish(entry.getKey(), entry.getValue());
      } else if (nowMillis >= entry.getValue().stopAtMillis) {
        stop(entry.getKey());
      } else if (nowMillis >= entry.getValue().expiresAtMillis) {
        tasks.remove(entry.getKey());
      }
    }
    killOnMemoryExhaustion(running);
  }

  private double milliCoresOf(SimulatedTask task) {
    return jobById.get(task.jobId).actualSize.milliCores() * task.cpuFraction;
  }

  private void finish(String taskId, SimulatedTask task) {
    tasks.remove(taskId);
    JobView view = placement.job(task.jobId).get();
    placement.report(taskId, TaskReport.FINISHED, nowMillis);
    if (view.taskId().equals(taskId)) {
      SimulatedJob job = jobById.get(task.jobId);
      finishedMilliCoreSeconds += job.actualSize.milliCores() * job.totalSeconds;
    }
  }

  private void stop(String taskId) {
    tasks.remove(taskId);
    placement.report(taskId, TaskReport.ENDED, nowMillis);
  }

  private void killOnMemoryExhaustion(List<Map.Entry<String, SimulatedTask>> running) {
    long usedMib =
        running.stream()
            .filter(e -> tasks.containsKey(e.getKey()))
            .mapToLong(e -> jobById.get(e.getValue().jobId).actualSize.memoryMib())
            .sum();
    if (usedMib > CAPACITY.memoryMib()) {
      running.stream()
          .filter(e -> tasks.containsKey(e.getKey()))
          .max(
              (a, b) ->
                  Long.compare(
                      jobById.get(a.getValue().jobId).actualSize.memoryMib(),
                      jobById.get(b.getValue().jobId).actualSize.memoryMib()))
          .ifPresent(this::killTask);
    }
  }

  private void killTask(Map.Entry<String, SimulatedTask> entry) {
    SimulatedJob job = jobById.get(entry.getValue().jobId);
    job.remainingMilliCoreSeconds = job.actualSize.milliCores() * job.totalSeconds;
    stop(entry.getKey());
  }

  private void reportUsage() {
    tasks.forEach(
        (taskId, task) -> {
          if (!isPartitioned(task.worker)) {
            placement.recordUsage(taskId, jobById.get(task.jobId).actualSize);
          }
        });
  }
}
