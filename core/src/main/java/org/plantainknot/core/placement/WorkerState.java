package org.plantainknot.core.placement;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** Mutable state of a worker. */
final class WorkerState {

  private Worker worker;
  private long lastReportMillis = Long.MIN_VALUE / 2;
  private long lastReportClockMillis;
  private boolean draining;
  private long quarantinedUntilMillis = Long.MIN_VALUE;
  private final Set<String> consecutiveFailedJobs = new HashSet<>();
  private final Set<JobState> tasks = new LinkedHashSet<>();

  WorkerState(Worker worker) {
    this.worker = worker;
  }

  Worker worker() {
    return worker;
  }

  void update(Worker latest) {
    worker = latest;
  }

  long lastReportMillis() {
    return lastReportMillis;
  }

  long lastReportClockMillis() {
    return lastReportClockMillis;
  }

  /** Records a report that the worker sent when its own clock showed {@code workerMillis}. */
  void recordReport(long workerMillis, long nowMillis) {
    lastReportClockMillis = workerMillis;
    lastReportMillis = nowMillis;
  }

  boolean isReachable(long nowMillis, PlacementTiming timing) {
    return nowMillis - lastReportMillis < timing.leaseMillis() / 2;
  }

  boolean isDraining() {
    return draining;
  }

  void setDraining(boolean newDraining) {
    draining = newDraining;
  }

  Set<JobState> tasks() {
    return tasks;
  }

  /** Returns the tasks that are neither being checkpointed nor stopped, the least urgent first. */
  List<JobState> placedTasksLeastUrgentFirst() {
    return placedTasks().sorted(JobState.BY_URGENCY.reversed()).toList();
  }

  /** Returns what stays reserved once the tasks being checkpointed or stopped have ended. */
  Resources reservedByPlacedTasks() {
    return placedTasks().map(JobState::reserved).reduce(Resources.NONE, Resources::plus);
  }

  private Stream<JobState> placedTasks() {
    return tasks.stream().filter(task -> task.phase() == JobPhase.PLACED);
  }

  boolean acceptsWork(long nowMillis, PlacementTiming timing) {
    return isReachable(nowMillis, timing) && !draining && !isQuarantined(nowMillis);
  }

  boolean isQuarantined(long nowMillis) {
    return nowMillis < quarantinedUntilMillis;
  }

  Resources reserved() {
    return tasks.stream().map(JobState::reserved).reduce(Resources.NONE, Resources::plus);
  }

  Resources free() {
    return worker.capacity().minus(reserved());
  }

  void recordSuccess() {
    consecutiveFailedJobs.clear();
  }

  /**
   * Counts different jobs only, since repeated failures of one job don't indicate a faulty worker.
   */
  void recordFailure(String jobId, PlacementTiming timing, long nowMillis) {
    consecutiveFailedJobs.add(jobId);
    if (consecutiveFailedJobs.size() >= timing.failuresToQuarantine()) {
      quarantinedUntilMillis = nowMillis + timing.quarantineMillis();
      consecutiveFailedJobs.clear();
    }
  }
}
