package org.plantainknot.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.lease.LeaseRequest;
import org.plantainknot.core.lease.LeaseTable;
import org.plantainknot.core.rollout.Coordinator;
import org.plantainknot.core.rollout.Duties;
import org.plantainknot.core.rollout.LastSeenTimes;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.wire.member.LeaseRequestProto;

/**
 * State of the leader for one term, created once the first entry of the term is applied.
 *
 * <p>Used by the control thread only.
 */
final class LeaderTerm {

  private final LeaseTable leases;
  private final LastSeenTimes lastSeenTimes;
  private final Coordinator coordinator;
  private final List<LeaseRequest> awaitingRound = new ArrayList<>();
  private List<String> waiting = List.of();
  private int pendingDuties;

  LeaderTerm(
      DaemonSettings settings, ControlState state, Predicate<String> isRebooted, long nowMillis) {
    this.leases = new LeaseTable(settings.leaseTiming(), nowMillis);
    this.lastSeenTimes = new LastSeenTimes();
    this.coordinator =
        new Coordinator(
            settings.rolloutTiming(), state, leases, lastSeenTimes, isRebooted, nowMillis);
  }

  List<String> waiting() {
    return waiting;
  }

  /** Adds a lease request, which waits for the next heartbeat round. */
  void addRequest(String node, LeaseRequestProto proto, long nowMillis) {
    proto
        .getSightingsList()
        .forEach(s -> lastSeenTimes.recordSeen(s.getVm(), s.getInstance(), nowMillis));
    awaitingRound.add(
        new LeaseRequest(
            node,
            proto.getProcess(),
            proto.getSequence(),
            proto.getAppliedIndex(),
            proto.getSharesVersion(),
            Set.copyOf(proto.getBusyVmsList()),
            proto.getStopping()));
  }

  boolean needsRound() {
    return !awaitingRound.isEmpty();
  }

  void onRoundStarted(long round) {
    awaitingRound.forEach(request -> leases.request(request, round));
    awaitingRound.clear();
  }

  /** Returns the lease requests that a majority has confirmed and that may now be granted. */
  List<LeaseRequest> granted(long confirmedRound, long commitIndex, long nowMillis) {
    return leases.confirm(confirmedRound, commitIndex, nowMillis);
  }

  /** Returns the duties that are due, or none while commands of earlier ones are uncommitted. */
  Duties duties(long nowMillis, long wallMillis) {
    if (pendingDuties > 0) {
      return new Duties(List.of(), waiting);
    }
    Duties duties = coordinator.duties(nowMillis, wallMillis);
    waiting = duties.waiting();
    pendingDuties = duties.commands().size();
    return duties;
  }

  /** Handles that a command of the latest duties was applied, or that it failed. */
  void onDutyCompleted() {
    pendingDuties--;
  }
}
