package org.plantainknot.core.schedule;

import java.util.function.LongUnaryOperator;
import org.plantainknot.core.job.Job;
import org.plantainknot.core.job.QueueConfig;

/**
 * How urgent it is to start waiting work now; constants are in planning order, most urgent first.
 *
 * <p>Designed for loads that exceed the capacity for some seconds: work that has missed its latency
 * objective yields to work that can still meet it, so that a backlog does not delay new arrivals.
 */
enum Urgency {
  /** Work that runs until it is cancelled. */
  PERSISTENT,
  /** Work that can still meet its latency objective. */
  IN_TIME,
  /** Work that will miss its latency objective but whose result is still useful. */
  LATE,
  /** Work so late that it matters little when it runs. */
  OVERDUE;

  /** Multiple of the latency objective up to which a late result is still useful. */
  private static final int MAX_LATE_OBJECTIVES = 3;

  /** Returns whether delaying the work costs value that starting it now would keep. */
  boolean isUrgent() {
    return this == PERSISTENT || this == IN_TIME;
  }

  /**
   * Returns the urgency of an occurrence of a job.
   *
   * @param expectedMillis expected duration of a task as a function of its estimate
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
    long endMillis = wallMillis + job.remainingCriticalPathMillis(occurrence, expectedMillis);
    if (endMillis <= deadlineMillis(job, occurrence, queue, expectedMillis, 1)) {
      return IN_TIME;
    }
    boolean stillUseful =
        endMillis <= deadlineMillis(job, occurrence, queue, expectedMillis, MAX_LATE_OBJECTIVES);
    return stillUseful ? LATE : OVERDUE;
  }

  /**
   * Returns the time at which a multiple of the latency objective of an occurrence has passed.
   *
   * @param objectives the multiple
   */
  static long deadlineMillis(
      Job job,
      int occurrence,
      QueueConfig queue,
      LongUnaryOperator expectedMillis,
      int objectives) {
    long due = Math.max(job.acceptedAtMillis(), job.spec().schedule().dueMillis(occurrence));
    long criticalPathMillis = job.spec().criticalPathMillis(step -> true, expectedMillis);
    double objective = queue.stretch() * criticalPathMillis + queue.targetLatencyMillis();
    return due + (long) (objectives * objective);
  }
}
