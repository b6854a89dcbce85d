package org.plantainknot.core.lease;

import java.util.TreeMap;

/**
 * The lease of this gateway.
 *
 * <p>It is counted from the sending of the request that the leader answered, and starts to hold
 * once everything that the leader had committed by its answer is applied here (Gray and Cheriton,
 * "Leases", 1989). Thread-safe.
 */
public final class GatewayLease {

  private static final int MAX_OUTSTANDING = 64;

  private record Promise(long commitIndex, long untilMillis) {}

  private final TreeMap<Long, Long> sentAtBySequence = new TreeMap<>();
  private final TreeMap<Long, Promise> promises = new TreeMap<>();
  private long nextSequence = 1;
  private long appliedIndex;
  private volatile long untilMillis = Long.MIN_VALUE;

  /** Notes that a request is sent now, and returns its sequence number. */
  public synchronized long request(long nowMillis) {
    long sequence = nextSequence++;
    sentAtBySequence.put(sequence, nowMillis);
    if (sentAtBySequence.size() > MAX_OUTSTANDING) {
      sentAtBySequence.pollFirstEntry();
    }
    return sequence;
  }

  /** Notes the leader's answer to a request. */
  public synchronized void granted(long sequence, long leaseMillis, long commitIndex) {
    Long sentAtMillis = sentAtBySequence.get(sequence);
    if (sentAtMillis == null) {
      return;
    }
    sentAtBySequence.headMap(sequence, true).clear();
    promises.put(commitIndex, new Promise(commitIndex, sentAtMillis + leaseMillis));
    settle();
  }

  /** Notes how far the log is applied here. */
  public synchronized void applied(long index) {
    appliedIndex = index;
    settle();
  }

  /** Gives the lease up. */
  public synchronized void drop() {
    sentAtBySequence.clear();
    promises.clear();
    untilMillis = Long.MIN_VALUE;
  }

  /** Returns whether new work may be given to targets at this moment. */
  public boolean isHeld(long nowMillis) {
    return nowMillis < untilMillis;
  }

  /** Returns the time at which the lease runs out. */
  public long untilMillis() {
    return untilMillis;
  }

  private void settle() {
    while (!promises.isEmpty() && promises.firstKey() <= appliedIndex) {
      untilMillis = Math.max(untilMillis, promises.pollFirstEntry().getValue().untilMillis());
    }
  }
}
