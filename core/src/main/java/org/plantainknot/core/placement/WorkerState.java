package org.plantainknot.core.placement;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/** What the placement knows of a worker. */
final class WorkerState {

  private Worker worker;
  private long heardAtMillis = Long.MIN_VALUE / 2;
  private long workerMillis;
  private boolean draining;
  private long quarantinedUntilMillis = Long.MIN_VALUE;
  private final Set<String> failedInRow = new HashSet<>();
  private final Set<JobState> tasks = new LinkedHashSet<>();

  WorkerState(Worker worker) {
    this.worker = worker;
  }

  Worker worker() {
    return worker;
  }

  void describe(Worker latest) {
    worker = latest;
  }

  long heardAtMillis() {
    return heardAtMillis;
  }

  long workerMillis() {
    return workerMillis;
  }

  /** Notes a report that the worker sent when its clock showed the given time. */
  void heard(long clockMillis, long nowMillis) {
    workerMillis = clockMillis;
    heardAtMillis = nowMillis;
  }

  boolean isReachable(long nowMillis, PlacementTiming timing) {
    return nowMillis - heardAtMillis < timing.leaseMillis() / 2;
  }

  boolean isDraining() {
    return draining;
  }

  void setDraining(boolean isDraining) {
    draining = isDraining;
  }

  Set<JobState> tasks() {
    return tasks;
  }

  boolean takesWork(long nowMillis, PlacementTiming timing) {
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

  void succeeded() {
    failedInRow.clear();
  }

  /** Counts different jobs only: one bad job is no sign of a bad worker. */
  void failed(String jobId, PlacementTiming timing, long nowMillis) {
    failedInRow.add(jobId);
    if (failedInRow.size() >= timing.failuresToQuarantine()) {
      quarantinedUntilMillis = nowMillis + timing.quarantineMillis();
      failedInRow.clear();
    }
  }
}
