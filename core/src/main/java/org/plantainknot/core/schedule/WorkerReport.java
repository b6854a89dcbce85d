package org.plantainknot.core.schedule;

import java.util.List;

/**
 * A worker's answer to a lease renewal.
 *
 * @param bornMillis start of the incarnation that answered, in milliseconds since the Unix epoch
 * @param clockMillis the worker's clock in milliseconds
 * @param running the runs in progress
 * @param ended the ends that the leader has not acknowledged yet
 */
public record WorkerReport(
    long bornMillis, long clockMillis, List<ListedRun> running, List<ListedEnd> ended) {

  /** Copies the lists. */
  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }
}
