package org.plantainknot.core.schedule;

/**
 * Failures of the runs on one worker incarnation, and how they limit its new work.
 *
 * <p>Several failures in a row quarantine the worker. Then it is on probation, in which one run at
 * a time may show that it works. Probation ends with the first run that has started since the
 * latest failure and is done or has been at work for a while, and in any case after some seconds
 * without a failure: a gang never fits into it, and long work is done much later. Not thread-safe.
 */
final class FailureRecord {

  private static final int FAILURES_TO_QUARANTINE = 3;
  private static final long QUARANTINE_MILLIS = 4_000;
  private static final long MAX_PROBATION_MILLIS = 3_000;

  private int failuresInRow;
  private long lastFailureAtMillis;
  private long quarantinedUntilMillis;

  void runFailed(long nowMillis) {
    failuresInRow++;
    lastFailureAtMillis = nowMillis;
    if (isSuspect()) {
      quarantinedUntilMillis = nowMillis + QUARANTINE_MILLIS;
    }
  }

  void runDone() {
    failuresInRow = 0;
  }

  /** Records that a run is at work which the worker began at the given time. */
  void runProven(long startedAtMillis) {
    if (startedAtMillis > lastFailureAtMillis) {
      failuresInRow = 0;
    }
  }

  /** Returns whether the worker gets no new work. */
  boolean isQuarantined(long nowMillis) {
    return nowMillis < quarantinedUntilMillis;
  }

  /** Returns whether the worker gets one run at a time that isn't known to be at work. */
  boolean isOnProbation(long nowMillis) {
    return isSuspect() && nowMillis < quarantinedUntilMillis + MAX_PROBATION_MILLIS;
  }

  private boolean isSuspect() {
    return failuresInRow >= FAILURES_TO_QUARANTINE;
  }
}
