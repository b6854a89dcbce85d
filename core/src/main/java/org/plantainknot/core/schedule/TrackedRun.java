package org.plantainknot.core.schedule;

import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.Task;
import org.plantainknot.core.job.WorkerIncarnation;

/** Run that is assigned to a worker, with the progress of its start and stop orders. */
final class TrackedRun {

  /** State of the run as seen by the leader. */
  enum Phase {
    /** Assigned by an earlier leader; the worker's report will show whether it is running. */
    ADOPTED,
    /** Start order pending or sent. */
    STARTING,
    /** The worker lists the run or has accepted its start. */
    RUNNING,
    /** Stop order pending or sent. */
    STOPPING,
    /** The worker has accepted the stop, or has answered that the run can no longer start. */
    STOPPED,
    /** Giving up the run is proposed to the log; it gets no more orders. */
    GIVING_UP
  }

  private static final int MAX_ATTEMPTS = 2;

  /** Time at full percent after which a persistent run counts as at work. */
  private static final long PERSISTENT_PROOF_MILLIS = 2_000;

  /** Time after which any other run that makes progress counts as at work. */
  private static final long PROOF_MILLIS = 4_000;

  private static final double FULL_PERCENT = 100;

  private final Task task;
  private final RunId id;
  private WorkerIncarnation incarnation;
  private Phase phase;
  private long phaseAtMillis;
  private long sentAtMillis;
  private boolean awaitingAnswer;
  private long answeredAtMillis;
  private int attempts;
  private long acceptedAtMillis;
  private long endListedAtMillis;
  private int unresolvedStarts;
  private long startSentAtMillis;
  private double percent;
  private long progressAtMillis;
  private long millisPerPercent;

  TrackedRun(Task task, WorkerIncarnation incarnation, Phase phase, long nowMillis) {
    this.task = task;
    this.id = task.runId();
    this.incarnation = incarnation;
    this.phase = phase;
    this.phaseAtMillis = nowMillis;
    this.progressAtMillis = nowMillis;
    this.unresolvedStarts = phase == Phase.ADOPTED ? 1 : 0;
  }

  Task task() {
    return task;
  }

  RunId id() {
    return id;
  }

  WorkerIncarnation incarnation() {
    return incarnation;
  }

  /** Records that the worker accepted the start order, which this leader sent. */
  void startAccepted(long nowMillis) {
    acceptedAtMillis = nowMillis;
  }

  /** Records that the worker lists the run's end, whether or not it did so before. */
  void endListed(long nowMillis) {
    if (endListedAtMillis == 0) {
      endListedAtMillis = nowMillis;
    }
  }

  /** Returns how long the worker executed the run, or 0 if this leader didn't see both ends. */
  long executionMillis() {
    boolean observed = acceptedAtMillis > 0 && endListedAtMillis > acceptedAtMillis;
    return observed ? endListedAtMillis - acceptedAtMillis : 0;
  }

  /** Moves the run to a later incarnation of its worker, which accepted the start. */
  void moveTo(WorkerIncarnation later) {
    incarnation = later;
  }

  Phase phase() {
    return phase;
  }

  long phaseAtMillis() {
    return phaseAtMillis;
  }

  void enter(Phase next, long nowMillis) {
    if (phase != next) {
      phase = next;
      phaseAtMillis = nowMillis;
      attempts = 0;
    }
  }

  /** Makes a stop order due, whatever was ordered before. */
  void restartStop(long nowMillis) {
    phase = Phase.STOPPING;
    phaseAtMillis = nowMillis;
    attempts = 0;
  }

  /** Returns whether the run is to end: it is being stopped, has stopped or is being given up. */
  boolean isEnding() {
    return phase == Phase.STOPPING || phase == Phase.STOPPED || isBeingGivenUp();
  }

  boolean isBeingGivenUp() {
    return phase == Phase.GIVING_UP;
  }

  void orderSent(long nowMillis) {
    sentAtMillis = nowMillis;
    awaitingAnswer = true;
    attempts++;
  }

  /** Records that a copy of the start order was sent. */
  void startSent(long nowMillis) {
    unresolvedStarts++;
    startSentAtMillis = nowMillis;
  }

  /** Records that one copy of the start order was executed, or is guaranteed not to be. */
  void startResolved() {
    unresolvedStarts--;
  }

  /** Returns whether an unanswered copy of the start order may still be executed. */
  boolean mayStillStart() {
    return unresolvedStarts > 0;
  }

  /** Returns whether there is an unanswered copy of the start order that was sent after a time. */
  boolean hasUnansweredStartSince(long atMillis) {
    return mayStillStart() && startSentAtMillis > atMillis;
  }

  void answered(long nowMillis) {
    awaitingAnswer = false;
    answeredAtMillis = nowMillis;
  }

  boolean isAwaitingAnswer() {
    return awaitingAnswer;
  }

  /** Returns when the latest order was answered or failed, or 0 if none was. */
  long answeredAtMillis() {
    return answeredAtMillis;
  }

  boolean isOrderDue(long nowMillis, long retryMillis) {
    return attempts == 0 || (!awaitingAnswer && nowMillis - sentAtMillis >= retryMillis);
  }

  boolean isRetryLimitReached() {
    return attempts >= MAX_ATTEMPTS;
  }

  void recordProgress(double reported, long nowMillis) {
    if (reported != percent) {
      if (reported > percent) {
        millisPerPercent = (long) ((nowMillis - progressAtMillis) / (reported - percent));
      }
      percent = reported;
      progressAtMillis = nowMillis;
    }
  }

  /** Returns whether the run has been at work for so long that its worker is able to run it. */
  boolean isProven(long nowMillis) {
    if (phase != Phase.RUNNING) {
      return false;
    }
    if (task.step().persistent()) {
      return isAtFullPercent() && nowMillis - progressAtMillis >= PERSISTENT_PROOF_MILLIS;
    }
    return progressAtMillis > phaseAtMillis && nowMillis - phaseAtMillis >= PROOF_MILLIS;
  }

  /** Returns how long the latest progress took for each percent, or 0 if there was none. */
  long millisPerPercent() {
    return millisPerPercent;
  }

  /** Returns whether the worker reports the run at 100%, as of persistent runs at work. */
  boolean isAtFullPercent() {
    return percent >= FULL_PERCENT;
  }

  long progressAtMillis() {
    return progressAtMillis;
  }
}
