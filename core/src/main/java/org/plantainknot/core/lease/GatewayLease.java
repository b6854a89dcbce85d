package org.plantainknot.core.lease;

import java.util.TreeMap;

/**
 * Lease of this gateway.
 *
 * <p>The lease duration is measured from the time at which the granted request was sent. The lease
 * takes effect once the gateway has applied all log entries that the leader had committed when it
 * granted the request (Gray and Cheriton, "Leases", 1989). Thread-safe.
 */
public final class GatewayLease {

  private static final int MAX_OUTSTANDING = 64;

  private record Grant(long commitIndex, long untilMillis) {}

  private final TreeMap<Long, Long> sentAtBySequence = new TreeMap<>();
  private final TreeMap<Long, Grant> pendingGrants = new TreeMap<>();
  private long nextSequence = 1;
  private long appliedIndex;
  private volatile long untilMillis = Long.MIN_VALUE;

  /** Records that a lease request is being sent and returns its sequence number. */
  public synchronized long request(long nowMillis) {
    long sequence = nextSequence++;
    sentAtBySequence.put(sequence, nowMillis);
    if (sentAtBySequence.size() > MAX_OUTSTANDING) {
      sentAtBySequence.pollFirstEntry();
    }
    return sequence;
  }

  /**
   * Records that the leader granted a request. Has no effect if the request is no longer
   * outstanding.
   *
   * @param sequence sequence number of the request
   * @param leaseMillis duration of the lease
   * @param commitIndex leader's commit index at the time of the grant
   */
  public synchronized void granted(long sequence, long leaseMillis, long commitIndex) {
    Long sentAtMillis = sentAtBySequence.get(sequence);
    if (sentAtMillis == null) {
      return;
    }
    sentAtBySequence.headMap(sequence, true).clear();
    pendingGrants.put(commitIndex, new Grant(commitIndex, sentAtMillis + leaseMillis));
    activateAppliedGrants();
  }

  /** Records the index up to which this gateway has applied the log. */
  public synchronized void applied(long index) {
    appliedIndex = index;
    activateAppliedGrants();
  }

  /** Releases the lease and forgets all outstanding requests. */
  public synchronized void drop() {
    sentAtBySequence.clear();
    pendingGrants.clear();
    untilMillis = Long.MIN_VALUE;
  }

  /** Returns whether the lease is held, so that new work may be sent to targets. */
  public boolean isHeld(long nowMillis) {
    return nowMillis < untilMillis;
  }

  /** Returns the time at which the lease expires. */
  public long untilMillis() {
    return untilMillis;
  }

  private void activateAppliedGrants() {
    while (!pendingGrants.isEmpty() && pendingGrants.firstKey() <= appliedIndex) {
      untilMillis = Math.max(untilMillis, pendingGrants.pollFirstEntry().getValue().untilMillis());
    }
  }
}
