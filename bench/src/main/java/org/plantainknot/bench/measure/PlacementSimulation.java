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
 * Jobs on workers in virtual time, with declared sizes off by up to four times either way.
 *
 * <p>Tasks of a worker whose processor is asked for more than it has slow down together. Where
 * memory runs out the worker ends its largest task, whose work is lost. A rack is cut off for a
 * while.
 */
final class PlacementSimulation {

  private static final int WORKERS = 35;
  private static final int WORKERS_PER_RACK = 4;
  private static final Resources CAPACITY = new Resources(16_000, 32_768, 0);
  private static final long STEP_MILLIS = 100;
  private static final long REPORT_MILLIS = 2_000;
  private static final long CHECKPOINT_MILLIS = 800;
  private static final long CUT_FROM_MILLIS = 300_000;
  private static final long CUT_TO_MILLIS = 360_000;
  private static final int PROFILES = 20;
  private static final int QUEUE = 120;

  /** A job's real size and what it has done. */
  private static final class Work {
    private Resources real;
    private double totalSeconds;
    private double leftMilliCoreSeconds;
    private long submittedAtMillis;
    private boolean started;
  }

  private static final class Task {
    private String jobId;
    private String worker;
    private long untilMillis;
    private long endsAtMillis = Long.MAX_VALUE;
    private double part = 1;
  }

  private final SplittableRandom random;
  private final boolean corrects;
  private final Placement placement = new Placement(PlacementTiming.DEFAULT);
  private final double[] factorByProfile = new double[PROFILES];
  private final Map<String, Work> workByJob = new HashMap<>();
  private final Map<String, Task> tasks = new HashMap<>();
  private final Set<String> ended = new HashSet<>();
  private final List<Long> urgentWaits = new ArrayList<>();
  private long nowMillis;
  private int jobs;
  private int doubled;
  private double doneMilliCoreSeconds;

  PlacementSimulation(long seed, boolean corrects) {
    this.random = new SplittableRandom(seed);
    this.corrects = corrects;
    for (int i = 0; i < PROFILES; i++) {
      factorByProfile[i] = Math.pow(4, 2 * random.nextDouble() - 1);
    }
    for (int i = 0; i < WORKERS; i++) {
      placement.describe(new Worker("w" + i, CAPACITY));
    }
    placement.quota("counter", CAPACITY.scaled(WORKERS / 4.0));
  }

  /** Runs for a time, and returns the part of all processors that did work which was finished. */
  double run(long millis) {
    while (nowMillis < millis) {
      nowMillis += STEP_MILLIS;
      fillQueue();
      hear();
      placement.plan(nowMillis).forEach(this::carryOut);
      work();
      if (corrects && nowMillis % REPORT_MILLIS == 0) {
        reportUse();
      }
    }
    return doneMilliCoreSeconds / (millis / 1_000.0 * WORKERS * CAPACITY.milliCores());
  }

  int doubled() {
    return doubled;
  }

  /** Returns the time within which 99 of 100 urgent jobs have started. */
  long urgentStartP99Millis() {
    List<Long> sorted = urgentWaits.stream().sorted().toList();
    return sorted.isEmpty() ? -1 : sorted.get((int) (sorted.size() * 0.99));
  }

  private void fillQueue() {
    long queued = placement.waiting();
    for (long i = queued; i < QUEUE; i++) {
      submit(WorkKind.BULK, "mills");
    }
    if (nowMillis % 2_000 == 0) {
      submit(WorkKind.URGENT, "counter");
    }
  }

  private void submit(WorkKind kind, String team) {
    int profile = random.nextInt(PROFILES);
    Work work = new Work();
    double cores = 1_000 + random.nextInt(3_000);
    work.real = new Resources((long) cores, 1_024 + random.nextInt(6_000), 0);
    work.totalSeconds = 20 + random.nextInt(60);
    work.leftMilliCoreSeconds = cores * work.totalSeconds;
    work.submittedAtMillis = nowMillis;
    Resources declared = work.real.scaled(1 / factorByProfile[profile]).min(CAPACITY);
    String id = "job" + jobs++;
    workByJob.put(id, work);
    placement.submit(new Job(id, team, "profile" + profile, kind, declared));
  }

  private void hear() {
    for (int i = 0; i < WORKERS; i++) {
      if (!isCut("w" + i)) {
        placement.heard("w" + i, nowMillis, nowMillis);
      }
    }
  }

  private boolean isCut(String worker) {
    boolean inTime = nowMillis >= CUT_FROM_MILLIS && nowMillis < CUT_TO_MILLIS;
    return inTime && Integer.parseInt(worker.substring(1)) < WORKERS_PER_RACK;
  }

  private void carryOut(TaskOrder order) {
    Task task = tasks.get(order.taskId());
    if (order instanceof TaskOrder.Run run) {
      if (!isCut(run.worker())) {
        start(run, task);
      }
    } else if (order instanceof TaskOrder.Throttle throttle && task != null) {
      task.part = throttle.part();
    } else if (task != null && !isCut(task.worker)) {
      task.endsAtMillis = Math.min(task.endsAtMillis, nowMillis + CHECKPOINT_MILLIS);
    }
  }

  private void start(TaskOrder.Run run, Task present) {
    if (present != null) {
      present.untilMillis = run.untilWorkerMillis();
    } else if (ended.add(run.taskId())) {
      Task task = new Task();
      task.jobId = run.jobId();
      task.worker = run.worker();
      task.untilMillis = run.untilWorkerMillis();
      boolean twice = tasks.values().stream().anyMatch(t -> t.jobId.equals(run.jobId()));
      doubled += twice ? 1 : 0;
      tasks.put(run.taskId(), task);
      noteStart(run.jobId());
    }
  }

  private void noteStart(String jobId) {
    Work work = workByJob.get(jobId);
    boolean urgent = placement.job(jobId).get().job().kind() == WorkKind.URGENT;
    if (urgent && !work.started) {
      urgentWaits.add(nowMillis - work.submittedAtMillis);
    }
    work.started = true;
  }

  private void work() {
    Map<String, List<Map.Entry<String, Task>>> byWorker = new HashMap<>();
    tasks.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(e -> byWorker.computeIfAbsent(e.getValue().worker, w -> new ArrayList<>()).add(e));
    byWorker.forEach((worker, running) -> workOn(running));
  }

  private void workOn(List<Map.Entry<String, Task>> running) {
    double asked = running.stream().mapToDouble(e -> coresOf(e.getValue())).sum();
    double speed = Math.min(1, CAPACITY.milliCores() / asked);
    for (Map.Entry<String, Task> entry : running) {
      Work work = workByJob.get(entry.getValue().jobId);
      work.leftMilliCoreSeconds -= coresOf(entry.getValue()) * speed * STEP_MILLIS / 1_000;
      if (work.leftMilliCoreSeconds <= 0) {
        finish(entry.getKey(), entry.getValue());
      } else if (nowMillis >= entry.getValue().endsAtMillis) {
        end(entry.getKey());
      } else if (nowMillis >= entry.getValue().untilMillis) {
        tasks.remove(entry.getKey());
      }
    }
    killForMemory(running);
  }

  private double coresOf(Task task) {
    return workByJob.get(task.jobId).real.milliCores() * task.part;
  }

  private void finish(String taskId, Task task) {
    tasks.remove(taskId);
    JobView view = placement.job(task.jobId).get();
    placement.report(taskId, TaskReport.FINISHED, nowMillis);
    if (view.taskId().equals(taskId)) {
      Work work = workByJob.get(task.jobId);
      doneMilliCoreSeconds += work.real.milliCores() * work.totalSeconds;
    }
  }

  private void end(String taskId) {
    tasks.remove(taskId);
    placement.report(taskId, TaskReport.ENDED, nowMillis);
  }

  private void killForMemory(List<Map.Entry<String, Task>> running) {
    long used =
        running.stream()
            .filter(e -> tasks.containsKey(e.getKey()))
            .mapToLong(e -> workByJob.get(e.getValue().jobId).real.memoryMib())
            .sum();
    if (used > CAPACITY.memoryMib()) {
      running.stream()
          .filter(e -> tasks.containsKey(e.getKey()))
          .max(
              (a, b) ->
                  Long.compare(
                      workByJob.get(a.getValue().jobId).real.memoryMib(),
                      workByJob.get(b.getValue().jobId).real.memoryMib()))
          .ifPresent(this::lose);
    }
  }

  private void lose(Map.Entry<String, Task> entry) {
    Work work = workByJob.get(entry.getValue().jobId);
    work.leftMilliCoreSeconds = work.real.milliCores() * work.totalSeconds;
    end(entry.getKey());
  }

  private void reportUse() {
    tasks.forEach(
        (taskId, task) -> {
          if (!isCut(task.worker)) {
            placement.use(taskId, workByJob.get(task.jobId).real);
          }
        });
  }
}
