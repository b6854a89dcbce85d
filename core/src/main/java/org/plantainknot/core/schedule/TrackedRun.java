package org.plantainknot.core.schedule;

import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.Task;
import org.plantainknot.core.job.WorkerLife;

/** Run that is assigned to a worker, and how far its orders are. */
final class TrackedRun {

  /** What the leader wants of the run and knows of it. */
  enum Phase {
    /** Taken over from an earlier leader; the worker's report tells whether it runs. */
    ADOPTED,
    /** The worker was told to start it. */
    STARTING,
    /** The worker lists it, or has accepted the start. */
    RUNNING,
    /** The worker was told to stop it. */
    STOPPING,
    /** The worker has accepted the stop, or will never start the run. */
    STOPPED
  }

  private static final int TRIES_TO_SUSPECT = 2;

  private final Task task;
  private final RunId run;
  private final long createdAtMillis;
  private final boolean adopted;
  private WorkerLife life;
  private Phase phase;
  private long phaseAtMillis;
  private long sentAtMillis;
  private boolean answerDue;
  private long answeredAtMillis;
  private int tries;
  private int openStarts;
  private boolean givenUp;
  private long givenUpAtMillis;
  private double percent;
  private long progressAtMillis;

  TrackedRun(Task task, WorkerLife life, Phase phase, long nowMillis) {
    this.task = task;
    this.run = task.runId();
    this.life = life;
    this.phase = phase;
    this.phaseAtMillis = nowMillis;
    this.createdAtMillis = nowMillis;
    this.adopted = phase == Phase.ADOPTED;
    this.progressAtMillis = nowMillis;
    this.openStarts = phase == Phase.ADOPTED ? 1 : 0;
  }

  Task task() {
    return task;
  }

  RunId run() {
    return run;
  }

  WorkerLife life() {
    return life;
  }

  /** Returns whether this leader has assigned the run. */
  boolean isSeenWhole() {
    return !adopted;
  }

  /** Returns when this leader began to follow the run. */
  long createdAtMillis() {
    return createdAtMillis;
  }

  /** Notes that a later life of the worker took the start. */
  void foundOn(WorkerLife later) {
    life = later;
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
      tries = 0;
    }
  }

  boolean isStopping() {
    return phase == Phase.STOPPING || phase == Phase.STOPPED;
  }

  void orderSent(long nowMillis) {
    sentAtMillis = nowMillis;
    answerDue = true;
    tries++;
  }

  /** Notes that a copy of the start is on its way. */
  void startSent() {
    openStarts++;
  }

  /** Notes that one copy of the start was surely refused. */
  void startRefused() {
    openStarts--;
  }

  /** Returns whether a copy of the start may be carried out that was not answered so far. */
  boolean mayStartLater() {
    return openStarts > 0;
  }

  void answered(long nowMillis) {
    answerDue = false;
    answeredAtMillis = nowMillis;
  }

  boolean isAnswerDue() {
    return answerDue;
  }

  /** Returns when the latest order was answered or failed, or 0. */
  long answeredAtMillis() {
    return answeredAtMillis;
  }

  boolean isOrderDue(long nowMillis, long retryMillis) {
    return tries == 0 || (!answerDue && nowMillis - sentAtMillis >= retryMillis);
  }

  boolean isSuspicious() {
    return tries >= TRIES_TO_SUSPECT;
  }

  void giveUp(long nowMillis) {
    givenUp = true;
    givenUpAtMillis = nowMillis;
  }

  /** Returns whether giving the run up was proposed lately. */
  boolean isGivenUp(long nowMillis, long retryMillis) {
    return givenUp && nowMillis - givenUpAtMillis < retryMillis;
  }

  void progress(double reported, long nowMillis) {
    if (reported != percent) {
      percent = reported;
      progressAtMillis = nowMillis;
    }
  }

  double percent() {
    return percent;
  }

  long progressAtMillis() {
    return progressAtMillis;
  }
}
