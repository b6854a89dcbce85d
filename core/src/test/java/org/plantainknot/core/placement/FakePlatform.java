package org.plantainknot.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Workers with clocks of their own that run tasks under leases; orders and reports may be lost. */
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

  private final Map<String, Long> clockAheadByWorker = new HashMap<>();
  private final Map<String, Task> running = new HashMap<>();
  private final Set<String> seen = new HashSet<>();

  void add(String worker, long clockAheadMillis) {
    clockAheadByWorker.put(worker, clockAheadMillis);
  }

  long workerMillis(String worker, long nowMillis) {
    return nowMillis + clockAheadByWorker.get(worker);
  }

  List<Task> running() {
    return running.values().stream().sorted((a, b) -> a.taskId.compareTo(b.taskId)).toList();
  }

  List<Task> runningOn(String worker) {
    return running().stream().filter(task -> task.worker.equals(worker)).toList();
  }

  /** Ends the tasks whose leases have run out on their workers. */
  void pass(long nowMillis) {
    running
        .values()
        .removeIf(task -> workerMillis(task.worker, nowMillis) >= task.untilWorkerMillis);
  }

  /**
   * Carries out an order that has reached its worker; returns the task it has ended, or null.
   *
   * <p>A task that was told to end is never started later, even if the order to run it comes after.
   */
  Task carryOut(TaskOrder order, long nowMillis) {
    if (order instanceof TaskOrder.Run run) {
      start(run, nowMillis);
      return null;
    }
    if (order instanceof TaskOrder.Throttle throttle) {
      Task task = running.get(throttle.taskId());
      if (task != null) {
        task.part = throttle.part();
      }
      return null;
    }
    seen.add(order.taskId());
    Task ended = running.remove(order.taskId());
    return ended != null ? ended : new Task(order.taskId(), "", "", 0);
  }

  void remove(Task task) {
    running.remove(task.taskId);
  }

  List<String> doubled() {
    List<String> doubled = new ArrayList<>();
    Set<String> jobs = new HashSet<>();
    running.values().stream()
        .filter(task -> !jobs.add(task.jobId))
        .forEach(t -> doubled.add(t.jobId));
    return doubled;
  }

  private void start(TaskOrder.Run run, long nowMillis) {
    boolean late = workerMillis(run.worker(), nowMillis) >= run.untilWorkerMillis();
    Task present = running.get(run.taskId());
    if (present != null) {
      present.untilWorkerMillis = Math.max(present.untilWorkerMillis, run.untilWorkerMillis());
    } else if (!late && seen.add(run.taskId())) {
      running.put(
          run.taskId(), new Task(run.taskId(), run.jobId(), run.worker(), run.untilWorkerMillis()));
    }
  }
}
