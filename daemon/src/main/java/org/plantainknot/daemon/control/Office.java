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
import org.plantainknot.core.rollout.Sightings;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.wire.member.LeaseRequestProto;

/**
 * What the leader keeps for its term, from the moment at which its first entry is applied.
 *
 * <p>Used by the control thread only.
 */
final class Office {

  private final LeaseTable leases;
  private final Sightings sightings;
  private final Coordinator coordinator;
  private final List<LeaseRequest> unrounded = new ArrayList<>();
  private List<String> waiting = List.of();
  private int outstanding;

  Office(
      DaemonSettings settings, ControlState state, Predicate<String> isRebooted, long nowMillis) {
    this.leases = new LeaseTable(settings.leaseTiming(), nowMillis);
    this.sightings = new Sightings();
    this.coordinator =
        new Coordinator(settings.rolloutTiming(), state, leases, sightings, isRebooted, nowMillis);
  }

  List<String> waiting() {
    return waiting;
  }

  void request(String node, LeaseRequestProto proto, long nowMillis) {
    proto.getSightingsList().forEach(s -> sightings.seen(s.getVm(), s.getInstance(), nowMillis));
    unrounded.add(
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
    return !unrounded.isEmpty();
  }

  void roundStarted(long round) {
    unrounded.forEach(request -> leases.request(request, round));
    unrounded.clear();
  }

  /** Returns the requests that may be answered now. */
  List<LeaseRequest> granted(long confirmedRound, long commitIndex, long nowMillis) {
    return leases.confirm(confirmedRound, commitIndex, nowMillis);
  }

  /** Returns the duties, or none while earlier ones are on their way through the log. */
  Duties duties(long nowMillis, long wallMillis) {
    if (outstanding > 0) {
      return new Duties(List.of(), waiting);
    }
    Duties duties = coordinator.duties(nowMillis, wallMillis);
    waiting = duties.waiting();
    outstanding = duties.commands().size();
    return duties;
  }

  void dutyDone() {
    outstanding--;
  }
}
