package org.plantainknot.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Simulated workers that run tasks under leases measured on their own clocks; orders and reports
 * may be lost.
 */
final class FakePlatform {

  /** A task on a worker. */
  static final class Task {
    final String taskId;
    final String jobId;
    final String worker;
    long untilWorkerMillis;
    double part = 1;

    Task(String taskId, String jobId, String worker, long untilWorkerMillis) {
      this.taskId = taskId;
      this.jobId = jobId;
      this.worker = worker;
      this.untilWorkerMillis = untilWorkerMillis;
    }
  }

  private final Map<String, Long> clockOffsetByWorker = new HashMap<>();
  private final Map<String, Task> running = new HashMap<>();
  private final Set<String> startedOrEnded = new HashSet<>();

  void add(String worker, long clockOffsetMillis) {
    clockOffsetByWorker.put(worker, clockOffsetMillis);
  }

  long workerMillis(String worker, long nowMillis) {
    return nowMillis + clockOffsetByWorker.get(worker);
  }

  List<Task> running() {
    return running.values().stream().sorted((a, b) -> a.taskId.compareTo(b.taskId)).toList();
  }

  List<Task> runningOn(String worker) {
    return running().stream().filter(task -> task.worker.equals(worker)).toList();
  }

  /** Ends the tasks whose leases have expired on their workers' clocks. */
  void expireLeases(long nowMillis) {
    running
        .values()
        .removeIf(task -> workerMillis(task.worker, nowMillis) >= task.untilWorkerMillis);
  }

  /**
   * Executes an order that has reached its worker; returns the task that it ended, or null.
   *
   * <p>A task that was ordered to end is never started, even if the order to run it arrives later.
   */
  Task execute(TaskOrder order, long nowMillis) {
    if (order instanceof TaskOrder.Run run) {
      start(run, nowMillis);
      return null;
    }
    if (order instanceof TaskOrder.Throttle throttle) {
      Task task = running.get(throttle.taskId());
      if (task != null) {
        task.part = throttle.fraction();
      }
      return null;
    }
    startedOrEnded.add(order.taskId());
    Task ended = running.remove(order.taskId());
    return ended != null ? ended : new Task(order.taskId(), "", "", 0);
  }

  void remove(Task task) {
    running.remove(task.taskId);
  }

  List<String> jobsRunningTwice() {
    List<String> jobsRunningTwice = new ArrayList<>();
    Set<String> jobs = new HashSet<>();
    running.values().stream()
        .filter(task -> !jobs.add(task.jobId))
        .forEach(t -> jobsRunningTwice.add(t.jobId));
    return jobsRunningTwice;
  }

  private void start(TaskOrder.Run run, long nowMillis) {
    boolean expired = workerMillis(run.worker(), nowMillis) >= run.untilWorkerMillis();
    Task present = running.get(run.taskId());
    if (present != null) {
      present.untilWorkerMillis = Math.max(present.untilWorkerMillis, run.untilWorkerMillis());
    } else if (!expired && startedOrEnded.add(run.taskId())) {
      running.put(
          run.taskId(), new Task(run.taskId(), run.jobId(), run.worker(), run.untilWorkerMillis()));
    }
  }
}
