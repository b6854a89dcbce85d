package org.plantainknot.core.job;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Times at which machines were last ordered, or their orders completed, on the replicated log's
 * clock. Snapshots hold the times of the latest minute, so that a leader after a restart knows
 * which machines nobody has ordered lately.
 */
final class OrderLog {

  private static final long KEEP_MILLIS = 60_000;

  private final Map<String, Long> atMillisByMachine = new TreeMap<>();
  private boolean restoredWithoutTimes;
  private long restoredAtMillis;

  void record(String machine, long clockMillis) {
    atMillisByMachine.put(machine, clockMillis);
  }

  /** Returns the recorded times, in milliseconds since the Unix epoch, by machine. */
  Map<String, Long> atMillisByMachine() {
    return Collections.unmodifiableMap(atMillisByMachine);
  }

  /** Returns whether all orders that may matter are recorded. */
  boolean isComplete(long clockMillis) {
    return !restoredWithoutTimes || clockMillis - restoredAtMillis >= KEEP_MILLIS;
  }

  /** Returns the times of the latest minute for a snapshot, or null if some of them are unknown. */
  List<OrderTime> image(long clockMillis) {
    if (!isComplete(clockMillis)) {
      return null;
    }
    atMillisByMachine.values().removeIf(atMillis -> clockMillis - atMillis > KEEP_MILLIS);
    return atMillisByMachine.entrySet().stream()
        .map(entry -> new OrderTime(entry.getKey(), entry.getValue()))
        .toList();
  }

  /**
   * Replaces the times with those of a snapshot.
   *
   * @param image times in the snapshot, or null if it holds none
   * @param clockMillis clock of the replicated log in the snapshot
   */
  void restore(List<OrderTime> image, long clockMillis) {
    atMillisByMachine.clear();
    restoredWithoutTimes = image == null;
    restoredAtMillis = clockMillis;
    if (image != null) {
      image.forEach(time -> atMillisByMachine.put(time.machine(), time.atMillis()));
    }
  }
}
