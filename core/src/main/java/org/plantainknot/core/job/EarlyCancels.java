package org.plantainknot.core.job;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cancellations of jobs that were unknown then, whose submissions may still be on their way.
 *
 * <p>A gateway may stand still for long with a submission that it hasn't read. They are kept for as
 * long as ended jobs are, in the order of their times. Not thread-safe.
 */
final class EarlyCancels {

  /** Limits the heap that cancellations of made-up identifiers can take to a few megabytes. */
  static final int MAX_COUNT = 20_000;

  private final Map<String, Long> atMillisByJob = new LinkedHashMap<>();

  /** Records a cancellation; returns false if there is no room for it. */
  boolean record(String job, long clockMillis) {
    removeExpired(clockMillis);
    atMillisByJob.remove(job);
    if (atMillisByJob.size() >= MAX_COUNT) {
      return false;
    }
    atMillisByJob.put(job, clockMillis);
    return true;
  }

  /** Removes and returns whether there is a cancellation of the job. */
  boolean remove(String job, long clockMillis) {
    removeExpired(clockMillis);
    return atMillisByJob.remove(job) != null;
  }

  private void removeExpired(long clockMillis) {
    Iterator<Long> oldestFirst = atMillisByJob.values().iterator();
    while (oldestFirst.hasNext()
        && clockMillis - oldestFirst.next() > JobLedger.KEEP_ENDED_MILLIS) {
      oldestFirst.remove();
    }
  }

  /** Returns the cancellations for a snapshot. */
  List<EarlyCancel> image() {
    return atMillisByJob.entrySet().stream()
        .map(entry -> new EarlyCancel(entry.getKey(), entry.getValue()))
        .toList();
  }

  /**
   * Replaces the cancellations with those of a snapshot.
   *
   * @param image cancellations in the snapshot, or null if it is of a build that kept none
   */
  void restore(List<EarlyCancel> image) {
    atMillisByJob.clear();
    if (image != null) {
      image.forEach(cancel -> atMillisByJob.put(cancel.job(), cancel.atMillis()));
    }
  }
}
