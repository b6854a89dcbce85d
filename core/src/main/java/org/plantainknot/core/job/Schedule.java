package org.plantainknot.core.job;

/**
 * Schedule of the occurrences of a job.
 *
 * @param times number of occurrences, or 0 for a job that runs once as soon as possible
 * @param firstMillis time at which the first occurrence is due, in milliseconds since the Unix
 *     epoch
 * @param intervalMillis interval between the due times of consecutive occurrences
 */
public record Schedule(int times, long firstMillis, long intervalMillis) {

  /** Schedule of a job that runs once, as soon as possible. */
  public static final Schedule NOW = new Schedule(0, 0, 0);

  /** Returns the number of occurrences, at least 1. */
  public int occurrences() {
    return Math.max(1, times);
  }

  /** Returns the time at which an occurrence is due, or 0 if it is due immediately. */
  public long dueMillis(int occurrence) {
    return times == 0 ? 0 : firstMillis + occurrence * intervalMillis;
  }
}
