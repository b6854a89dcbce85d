package org.plantainknot.core.schedule;

import java.util.List;

/**
 * A worker's answer to a lease renewal.
 *
 * @param bornMillis start of the incarnation that answered, in milliseconds since the Unix epoch
 * @param clockMillis the worker's clock in milliseconds
 * @param running the runs in progress
 * @param ended the ends that the leader has not acknowledged yet, or the first of them
 * @param mayOmitEnds whether there may be unacknowledged ends that {@code ended} leaves out
 */
public record WorkerReport(
    long bornMillis,
    long clockMillis,
    List<ListedRun> running,
    List<ListedEnd> ended,
    boolean mayOmitEnds) {

  /** Copies the lists. */
  public WorkerReport {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /** Creates a report that lists all unacknowledged ends. */
  public static WorkerReport complete(
      long bornMillis, long clockMillis, List<ListedRun> running, List<ListedEnd> ended) {
    return new WorkerReport(bornMillis, clockMillis, running, ended, false);
  }
}
