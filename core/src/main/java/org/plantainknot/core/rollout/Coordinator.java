package org.plantainknot.core.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.control.MoveStep;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.fleet.VmPhase;
import org.plantainknot.core.lease.LeaseRequest;
import org.plantainknot.core.lease.LeaseTable;
import org.plantainknot.core.share.GatewayTable;
import org.plantainknot.core.ticket.TicketEntry;
import org.plantainknot.core.ticket.TicketStatus;

/**
 * Determines the commands that the leader has to append to the log next.
 *
 * <p>Its own state is not replicated, and no later leader depends on it: a new leader that lacks
 * this information waits longer instead. Not thread-safe.
 */
public final class Coordinator {

  private final RolloutTiming timing;
  private final ControlState state;
  private final LeaseTable leases;
  private final LastSeenTimes lastSeenTimes;
  private final Predicate<String> isRebooted;
  private final Map<String, Long> drainIndexByVm = new HashMap<>();
  private final Map<String, Long> rebootingSinceByVm = new HashMap<>();
  private final Deque<Long> targetLossTimesMillis = new ArrayDeque<>();
  private long seenGatewayLosses;
  private long gatewayLostAtMillis;
  private final List<Command> commands = new ArrayList<>();
  private final List<String> waiting = new ArrayList<>();

  /**
   * Creates the coordinator of a newly elected leader.
   *
   * @param timing timeouts and limits
   * @param state replicated state, which the coordinator only reads
   * @param leases leases granted by this leader
   * @param lastSeenTimes announcements of targets that gateways have reported to this leader
   * @param isRebooted whether the platform has reported the reboot of a VM as complete
   * @param nowMillis time of the election
   */
  public Coordinator(
      RolloutTiming timing,
      ControlState state,
      LeaseTable leases,
      LastSeenTimes lastSeenTimes,
      Predicate<String> isRebooted,
      long nowMillis) {
    this.timing = timing;
    this.state = state;
    this.leases = leases;
    this.lastSeenTimes = lastSeenTimes;
    this.isRebooted = isRebooted;
    this.seenGatewayLosses = state.gateways().losses();
    this.gatewayLostAtMillis = nowMillis;
  }

  /**
   * Returns the commands to append now, and what the rollout waits for.
   *
   * @param nowMillis time on the monotonic clock
   * @param wallMillis time on the wall clock, which the start times of tickets refer to
   */
  public Duties duties(long nowMillis, long wallMillis) {
    commands.clear();
    waiting.clear();
    updateGateways(nowMillis);
    settleShares(nowMillis);
    detectLostTargets(nowMillis);
    state.tickets().due(wallMillis).forEach(n -> commands.add(new Command.StartTicket(n)));
    markTicketsInForce(nowMillis);
    advanceVms(nowMillis);
    return new Duties(commands, waiting);
  }

  private void updateGateways(long nowMillis) {
    GatewayTable gateways = state.gateways();
    if (gateways.losses() != seenGatewayLosses) {
      seenGatewayLosses = gateways.losses();
      gatewayLostAtMillis = nowMillis;
    }
    for (LeaseRequest request : leases.latestRequests()) {
      String current = gateways.processOf(request.node()).orElse(null);
      boolean isCurrent = request.process().equals(current);
      if (request.stopping()) {
        removeStopping(request, isCurrent);
      } else if (current == null || (!isCurrent && leases.isExpired(current, nowMillis))) {
        commands.add(new Command.GatewayUp(request.node(), request.process()));
      }
    }
    Map<String, String> processByNode = gateways.image().processByNode();
    processByNode.forEach(
        (node, process) -> {
          if (leases.isExpired(process, nowMillis)) {
            commands.add(new Command.GatewayDown(node, process, false));
            leases.remove(process);
          }
        });
  }

  private void removeStopping(LeaseRequest request, boolean isCurrent) {
    if (isCurrent) {
      commands.add(new Command.GatewayDown(request.node(), request.process(), true));
    }
    leases.remove(request.process());
  }

  private void settleShares(long nowMillis) {
    GatewayTable gateways = state.gateways();
    if (!gateways.isChanging()) {
      return;
    }
    boolean drained = gateways.leaving().isEmpty() || haveOrphanedRequestsEnded(nowMillis);
    boolean sharesApplied =
        gateways.live().stream()
            .allMatch(
                p ->
                    leases
                        .latest(p)
                        .filter(r -> r.sharesVersion() >= gateways.version())
                        .isPresent());
    if (drained && sharesApplied) {
      commands.add(new Command.SettleShares(gateways.version()));
    } else {
      waiting.add(
          "shares " + gateways.version() + " are pending until requests in progress have finished");
    }
  }

  /** Returns whether no request of a lost gateway can still be running on a target. */
  private boolean haveOrphanedRequestsEnded(long nowMillis) {
    return nowMillis - gatewayLostAtMillis > timing.requestMaxMillis();
  }

  private void detectLostTargets(long nowMillis) {
    for (Vm vm : state.fleet().vms()) {
      if (vm.announcement() == null) {
        continue;
      }
      String instance = vm.announcement().instance();
      if (nowMillis - lastSeenTimes.lastSeenMillis(vm.name(), instance, nowMillis)
          > timing.targetTimeoutMillis()) {
        commands.add(new Command.MarkGone(vm.name(), instance));
        targetLossTimesMillis.add(nowMillis);
      }
    }
    while (!targetLossTimesMillis.isEmpty()
        && nowMillis - targetLossTimesMillis.peek() > timing.pauseWindowMillis()) {
      targetLossTimesMillis.remove();
    }
  }

  private void markTicketsInForce(long nowMillis) {
    for (TicketEntry entry : state.tickets().entries()) {
      if (entry.status() != TicketStatus.STARTED) {
        continue;
      }
      List<String> lagging =
          liveOrLeasedProcesses().stream()
              .filter(p -> !hasApplied(p, entry.startedIndex()))
              .filter(p -> !leases.isExpired(p, nowMillis))
              .toList();
      if (lagging.isEmpty()) {
        commands.add(new Command.MarkInForce(entry.ticket().number()));
      } else {
        waiting.add(
            "ticket " + entry.ticket().number() + " has not been applied by gateways " + lagging);
      }
    }
  }

  private Set<String> liveOrLeasedProcesses() {
    Set<String> processes = new HashSet<>(state.gateways().live());
    leases.latestRequests().stream()
        .filter(r -> !r.stopping())
        .forEach(r -> processes.add(r.process()));
    return processes;
  }

  private boolean hasApplied(String process, long index) {
    return leases.latest(process).filter(r -> r.appliedIndex() >= index).isPresent();
  }

  private void advanceVms(long nowMillis) {
    Set<String> leaving = new HashSet<>();
    Set<String> rebooting = new HashSet<>();
    for (Vm vm : state.fleet().vms()) {
      if (vm.phase() == VmPhase.LEAVING) {
        leaving.add(vm.name());
        finishDrain(vm, nowMillis);
      } else if (vm.phase() == VmPhase.REBOOTING) {
        rebooting.add(vm.name());
        finishReboot(vm, nowMillis);
      }
    }
    drainIndexByVm.keySet().retainAll(leaving);
    rebootingSinceByVm.keySet().retainAll(rebooting);
    if (targetLossTimesMillis.size() >= timing.pauseThreshold()) {
      waiting.add(
          "waves are paused: " + targetLossTimesMillis.size() + " targets were lost recently");
      return;
    }
    new WavePlanner(state.fleet(), vm -> 0)
        .next()
        .forEach(vm -> commands.add(stepOf(vm, MoveStep.LEAVE)));
  }

  private void finishDrain(Vm vm, long nowMillis) {
    long index = drainIndexByVm.computeIfAbsent(vm.name(), v -> state.appliedIndex());
    List<String> busy =
        state.gateways().live().stream()
            .filter(
                p -> !hasApplied(p, index) || leases.latest(p).get().busyVms().contains(vm.name()))
            .toList();
    if (busy.isEmpty() && haveOrphanedRequestsEnded(nowMillis)) {
      commands.add(stepOf(vm.name(), MoveStep.DRAINED));
    } else {
      waiting.add("VM " + vm.name() + " is draining, in use by gateways " + busy);
    }
  }

  private void finishReboot(Vm vm, long nowMillis) {
    long since = rebootingSinceByVm.computeIfAbsent(vm.name(), v -> nowMillis);
    if (vm.announcement() != null && isRebooted.test(vm.name())) {
      commands.add(stepOf(vm.name(), MoveStep.RETURNED));
    } else if (nowMillis - since > timing.rebootTimeoutMillis()) {
      waiting.add("VM " + vm.name() + " has not returned from its reboot");
    }
  }

  private static Command.StepVm stepOf(String vm, MoveStep step) {
    return new Command.StepVm(vm, step);
  }
}
