package org.plantainknot.core.placement;

import java.util.HashSet;
import java.util.Set;

/** A job and where it stands. */
final class JobState {

  private final Job job;
  private final long order;
  private JobPhase phase = JobPhase.QUEUED;
  private WorkerState worker;
  private int attempts;
  private long leaseUntilMillis;
  private Resources estimate;
  private Resources used = Resources.NONE;
  private double part = 1;
  private boolean cancelled;
  private String reason = "";
  private final Set<String> failedOn = new HashSet<>();

  JobState(Job job, long order) {
    this.job = job;
    this.order = order;
    this.estimate = job.declared();
  }

  Job job() {
    return job;
  }

  long order() {
    return order;
  }

  JobPhase phase() {
    return phase;
  }

  WorkerState worker() {
    return worker;
  }

  String reason() {
    return reason;
  }

  String taskId() {
    return job.id() + "#" + attempts;
  }

  long leaseUntilMillis() {
    return leaseUntilMillis;
  }

  boolean isThrottled() {
    return part < 1;
  }

  boolean isCancelled() {
    return cancelled;
  }

  /** What the task may take: the estimate, or what it was seen to use if that is more. */
  Resources reserved() {
    return estimate.max(used).throttled(part);
  }

  void estimate(Resources latest) {
    estimate = latest;
  }

  void used(Resources reported) {
    used = reported;
  }

  void throttle(double toPart) {
    part = toPart;
  }

  void place(WorkerState on, long untilMillis) {
    attempts++;
    phase = JobPhase.PLACED;
    worker = on;
    leaseUntilMillis = untilMillis;
    used = Resources.NONE;
    part = 1;
    on.tasks().add(this);
  }

  void extendLease(long untilMillis) {
    leaseUntilMillis = Math.max(leaseUntilMillis, untilMillis);
  }

  void wind(JobPhase to) {
    phase = to;
  }

  void cancel() {
    cancelled = true;
  }

  int failedOn(String workerName) {
    failedOn.add(workerName);
    return failedOn.size();
  }

  boolean hasFailedOn(String workerName) {
    return failedOn.contains(workerName);
  }

  void leave(JobPhase to, String why) {
    if (worker != null) {
      worker.tasks().remove(this);
    }
    worker = null;
    phase = to;
    reason = why;
  }
}
