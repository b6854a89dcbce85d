package org.plantainknot.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Leases of all gateways as tracked by the leader.
 *
 * <p>A request is answered only after a majority has confirmed a heartbeat round that started after
 * the request arrived. Every answered request was therefore sent before any later leader was
 * elected, so a new leader knows that all earlier leases have expired one lease duration after its
 * own election.
 */
public final class LeaseTable {

  private record Pending(LeaseRequest request, long round) {}

  private final LeaseTiming timing;
  private final List<Pending> pending = new ArrayList<>();
  private final Map<String, LeaseRequest> latestByProcess = new HashMap<>();
  private final Map<String, Long> grantedAtByProcess = new HashMap<>();
  private long electedAtMillis;
  private long olderCommitIndex;
  private long newerCommitIndex;
  private long sampledAtMillis;

  /** Creates a table for a leader that has just been elected. */
  public LeaseTable(LeaseTiming timing, long nowMillis) {
    this.timing = timing;
    this.electedAtMillis = nowMillis;
    this.sampledAtMillis = nowMillis;
  }

  /**
   * Records a lease request.
   *
   * @param request the request
   * @param round heartbeat round that must be confirmed before the request is answered
   */
  public void request(LeaseRequest request, long round) {
    latestByProcess.put(request.process(), request);
    if (!request.stopping()) {
      pending.add(new Pending(request, round));
    }
  }

  /**
   * Records that a majority confirmed a heartbeat round, and returns the requests that are granted
   * by it. Requests of gateways that lag behind in applying the log are not granted.
   */
  public List<LeaseRequest> confirm(long round, long commitIndex, long nowMillis) {
    sampleCommitIndex(commitIndex, nowMillis);
    List<LeaseRequest> answered =
        pending.stream().filter(p -> p.round() <= round).map(Pending::request).toList();
    pending.removeIf(p -> p.round() <= round);
    List<LeaseRequest> granted = answered.stream().filter(this::isCaughtUp).toList();
    granted.forEach(r -> grantedAtByProcess.put(r.process(), nowMillis));
    return granted;
  }

  /** Returns whether the process is guaranteed to hold no lease. */
  public boolean isExpired(String process, long nowMillis) {
    long grantedAt = grantedAtByProcess.getOrDefault(process, electedAtMillis);
    long expiryMillis = timing.leaseMillis() + timing.marginMillis();
    return nowMillis - Math.max(grantedAt, electedAtMillis) > expiryMillis;
  }

  /** Returns the latest request that this leader received from a process, if any. */
  public Optional<LeaseRequest> latest(String process) {
    return Optional.ofNullable(latestByProcess.get(process));
  }

  /** Returns the latest request of each process. */
  public Collection<LeaseRequest> latestRequests() {
    return List.copyOf(latestByProcess.values());
  }

  /** Removes a process that is known to have stopped. */
  public void remove(String process) {
    latestByProcess.remove(process);
    grantedAtByProcess.remove(process);
  }

  private boolean isCaughtUp(LeaseRequest request) {
    return request.appliedIndex() >= olderCommitIndex;
  }

  /**
   * Maintains a commit index that is at least half a lease duration old. A gateway must have
   * applied the log up to it to be granted a lease.
   */
  private void sampleCommitIndex(long commitIndex, long nowMillis) {
    if (nowMillis - sampledAtMillis >= timing.leaseMillis() / 2) {
      olderCommitIndex = newerCommitIndex;
      newerCommitIndex = commitIndex;
      sampledAtMillis = nowMillis;
    }
  }
}
