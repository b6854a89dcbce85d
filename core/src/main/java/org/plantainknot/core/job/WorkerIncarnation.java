package org.plantainknot.core.job;

/**
 * Incarnation of a worker. A restarted worker is a new incarnation and has lost all its runs.
 *
 * @param worker identifier of the worker
 * @param bornMillis start time of the incarnation, in milliseconds since the Unix epoch
 */
public record WorkerIncarnation(String worker, long bornMillis) {

  /** Returns whether this is an earlier incarnation of the same worker. */
  public boolean isEarlierThan(WorkerIncarnation other) {
    return worker.equals(other.worker) && bornMillis < other.bornMillis;
  }

  @Override
  public String toString() {
    return worker + "@" + bornMillis;
  }
}
