package org.plantainknot.core.lease;

import java.util.TreeMap;

/**
 * Lease of this gateway.
 *
 * <p>The lease duration is measured from the time at which the granted request was sent, on the
 * monotonic and on the wall clock, and ends by the one that is ahead: the monotonic clock stands
 * still while the machine is suspended, and the wall clock may be set back. The lease takes effect
 * once the gateway has applied all log entries that the leader had committed when it granted the
 * request (Gray and Cheriton, "Leases", 1989). Thread-safe.
 */
public final class GatewayLease {

  private static final int MAX_OUTSTANDING = 64;

  private record Times(long monotonicMillis, long wallMillis) {

    private static final Times NEVER = new Times(Long.MIN_VALUE, Long.MIN_VALUE);

    private Times plusMillis(long millis) {
      return new Times(monotonicMillis + millis, wallMillis + millis);
    }
  }

  private record Grant(long commitIndex, Times until) {}

  private final TreeMap<Long, Times> sentAtBySequence = new TreeMap<>();
  private final TreeMap<Long, Grant> pendingGrants = new TreeMap<>();
  private long nextSequence = 1;
  private long appliedIndex;
  private volatile Times until = Times.NEVER;

  /**
   * Records that a lease request is being sent and returns its sequence number.
   *
   * @param nowMillis monotonic time
   * @param wallMillis wall-clock time
   */
  public synchronized long request(long nowMillis, long wallMillis) {
    long sequence = nextSequence++;
    sentAtBySequence.put(sequence, new Times(nowMillis, wallMillis));
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
    Times sentAt = sentAtBySequence.get(sequence);
    if (sentAt == null) {
      return;
    }
    sentAtBySequence.headMap(sequence, true).clear();
    pendingGrants.put(commitIndex, new Grant(commitIndex, sentAt.plusMillis(leaseMillis)));
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
    until = Times.NEVER;
  }

  /**
   * Returns whether the lease is held, so that new work may be sent to targets.
   *
   * @param nowMillis monotonic time
   * @param wallMillis wall-clock time
   */
  public boolean isHeld(long nowMillis, long wallMillis) {
    Times end = until;
    return nowMillis < end.monotonicMillis() && wallMillis < end.wallMillis();
  }

  /** Returns the monotonic time at which the lease expires at the latest. */
  public long untilMillis() {
    return until.monotonicMillis();
  }

  private void activateAppliedGrants() {
    while (!pendingGrants.isEmpty() && pendingGrants.firstKey() <= appliedIndex) {
      Times granted = pendingGrants.pollFirstEntry().getValue().until();
      if (granted.monotonicMillis() > until.monotonicMillis()) {
        until = granted;
      }
    }
  }
}
