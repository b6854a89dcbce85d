package org.plantainknot.core.schedule;

import java.util.function.LongUnaryOperator;
import org.plantainknot.core.job.Job;
import org.plantainknot.core.job.QueueConfig;

/**
 * How much depends on starting waiting work now; the first constant goes first.
 *
 * <p>Answers a load of which some seconds ask more than there is room for: what has missed its
 * objective gives way to what can still meet it, so that a backlog makes no newcomer late.
 */
enum Urgency {
  /** Work that is to run all the time. */
  PERSISTENT,
  /** Work that can still meet its latency objective. */
  IN_TIME,
  /** Work that will be late, and is still wanted. */
  LATE,
  /** Work that is so late that it matters little when it runs. */
  OVERDUE;

  /** Multiple of the latency objective up to which a late result is still wanted. */
  private static final int WANTED_OBJECTIVES = 3;

  /** Returns whether starting the work now gains what a later start loses. */
  boolean isUrgent() {
    return this == PERSISTENT || this == IN_TIME;
  }

  /**
   * Returns the urgency of an occurrence of a job.
   *
   * @param expectedMillis duration of a task to expect, by its estimate
   */
  static Urgency of(
      Job job,
      int occurrence,
      QueueConfig queue,
      LongUnaryOperator expectedMillis,
      long wallMillis) {
    if (job.spec().isPersistent()) {
      return PERSISTENT;
    }
    if (queue == null) {
      return OVERDUE;
    }
    long endMillis = wallMillis + job.remainingChainMillis(occurrence, expectedMillis);
    if (endMillis <= deadlineMillis(job, occurrence, queue, expectedMillis, 1)) {
      return IN_TIME;
    }
    boolean wanted =
        endMillis <= deadlineMillis(job, occurrence, queue, expectedMillis, WANTED_OBJECTIVES);
    return wanted ? LATE : OVERDUE;
  }

  /** Returns when a number of latency objectives of an occurrence have passed. */
  static long deadlineMillis(
      Job job,
      int occurrence,
      QueueConfig queue,
      LongUnaryOperator expectedMillis,
      int objectives) {
    long due = Math.max(job.acceptedAtMillis(), job.spec().schedule().dueMillis(occurrence));
    long chainMillis = job.spec().chainMillis(step -> true, expectedMillis);
    double objective = queue.stretch() * chainMillis + queue.targetLatencyMillis();
    return due + (long) (objectives * objective);
  }
}
