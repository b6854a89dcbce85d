package org.plantainknot.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The leader's view of all leases.
 *
 * <p>A request is answered once a heartbeat round that started after its arrival is answered by a
 * majority. So an answered request was sent before any later leader was elected, and a new leader
 * knows all earlier leases to be over one lease after its election.
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

  /** Creates a table for a leader that was elected now. */
  public LeaseTable(LeaseTiming timing, long nowMillis) {
    this.timing = timing;
    this.electedAtMillis = nowMillis;
    this.sampledAtMillis = nowMillis;
  }

  /** Notes a request, which is answered after the given round. */
  public void request(LeaseRequest request, long round) {
    latestByProcess.put(request.process(), request);
    if (!request.stopping()) {
      pending.add(new Pending(request, round));
    }
  }

  /** Returns the requests that may be answered, now that the round is confirmed. */
  public List<LeaseRequest> confirm(long round, long commitIndex, long nowMillis) {
    sampleCommitIndex(commitIndex, nowMillis);
    List<LeaseRequest> answered =
        pending.stream().filter(p -> p.round() <= round).map(Pending::request).toList();
    pending.removeIf(p -> p.round() <= round);
    List<LeaseRequest> granted = answered.stream().filter(this::keepsUp).toList();
    granted.forEach(r -> grantedAtByProcess.put(r.process(), nowMillis));
    return granted;
  }

  /** Returns whether the process surely holds no lease. */
  public boolean isLapsed(String process, long nowMillis) {
    long grantedAt = grantedAtByProcess.getOrDefault(process, electedAtMillis);
    long wait = timing.leaseMillis() + timing.marginMillis();
    return nowMillis - Math.max(grantedAt, electedAtMillis) > wait;
  }

  /** Returns the latest request of a process, if this leader has one. */
  public Optional<LeaseRequest> latest(String process) {
    return Optional.ofNullable(latestByProcess.get(process));
  }

  /** Returns the latest request of each process. */
  public Collection<LeaseRequest> latest() {
    return List.copyOf(latestByProcess.values());
  }

  /** Forgets a process that is known to be gone. */
  public void forget(String process) {
    latestByProcess.remove(process);
    grantedAtByProcess.remove(process);
  }

  private boolean keepsUp(LeaseRequest request) {
    return request.appliedIndex() >= olderCommitIndex;
  }

  /**
   * Keeps a commit index that is at least half a lease old, which each gateway must have reached.
   */
  private void sampleCommitIndex(long commitIndex, long nowMillis) {
    if (nowMillis - sampledAtMillis >= timing.leaseMillis() / 2) {
      olderCommitIndex = newerCommitIndex;
      newerCommitIndex = commitIndex;
      sampledAtMillis = nowMillis;
    }
  }
}
