package org.plantainknot.core.placement;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/** Mutable state of a job. */
final class JobState {

  /** Orders jobs by kind, the most urgent first, and within a kind by submission. */
  static final Comparator<JobState> BY_URGENCY =
      Comparator.comparing((JobState state) -> state.job().kind())
          .thenComparingLong(JobState::sequence);

  private final Job job;
  private final long sequence;
  private JobPhase phase = JobPhase.QUEUED;
  private WorkerState worker;
  private int attempts;
  private long leaseUntilMillis;
  private Resources estimate;
  private Resources used = Resources.NONE;
  private double processorFraction = 1;
  private boolean cancelled;
  private String reason = "";
  private final Set<String> failedWorkers = new HashSet<>();

  JobState(Job job, long sequence) {
    this.job = job;
    this.sequence = sequence;
    this.estimate = job.declared();
  }

  Job job() {
    return job;
  }

  long sequence() {
    return sequence;
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
    return processorFraction < 1;
  }

  boolean isCancelled() {
    return cancelled;
  }

  /** Returns the larger of estimate and reported usage, with the throttle applied. */
  Resources reserved() {
    return estimate.max(used).throttled(processorFraction);
  }

  void setEstimate(Resources newEstimate) {
    estimate = newEstimate;
  }

  void setUsed(Resources newUsed) {
    used = newUsed;
  }

  void throttle(double fraction) {
    processorFraction = fraction;
  }

  void place(WorkerState newWorker, long leaseEndMillis) {
    attempts++;
    phase = JobPhase.PLACED;
    worker = newWorker;
    leaseUntilMillis = leaseEndMillis;
    used = Resources.NONE;
    processorFraction = 1;
    newWorker.tasks().add(this);
  }

  void extendLease(long leaseEndMillis) {
    leaseUntilMillis = Math.max(leaseUntilMillis, leaseEndMillis);
  }

  void setPhase(JobPhase newPhase) {
    phase = newPhase;
  }

  void cancel() {
    cancelled = true;
  }

  /** Records a failure and returns the number of different workers on which the job failed. */
  int recordFailureOn(String workerName) {
    failedWorkers.add(workerName);
    return failedWorkers.size();
  }

  boolean hasFailedOn(String workerName) {
    return failedWorkers.contains(workerName);
  }

  /** Takes the job off its worker, if it has one, and sets its phase. */
  void releaseWorker(JobPhase newPhase, String newReason) {
    if (worker != null) {
      worker.tasks().remove(this);
    }
    worker = null;
    phase = newPhase;
    reason = newReason;
  }
}
