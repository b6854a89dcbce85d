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
 * The leader's duties: finds what has to be put into the log next.
 *
 * <p>It keeps nothing that a later leader would need; where that one knows less, it waits longer.
 * Not thread-safe.
 */
public final class Coordinator {

  private final RolloutTiming timing;
  private final ControlState state;
  private final LeaseTable leases;
  private final Sightings sightings;
  private final Predicate<String> isRebooted;
  private final Map<String, Long> leavingIndexByVm = new HashMap<>();
  private final Map<String, Long> rebootingSinceByVm = new HashMap<>();
  private final Deque<Long> targetLosses = new ArrayDeque<>();
  private long gatewayLosses;
  private long gatewayLostAtMillis;
  private final List<Command> commands = new ArrayList<>();
  private final List<String> waiting = new ArrayList<>();

  /**
   * Takes office.
   *
   * @param timing times of the duties
   * @param state replicated state, which is read only
   * @param leases leases that this leader gives
   * @param sightings announcements that this leader was told of
   * @param isRebooted whether the platform has reported the ordered reboot of a VM as done
   * @param nowMillis time of the election
   */
  public Coordinator(
      RolloutTiming timing,
      ControlState state,
      LeaseTable leases,
      Sightings sightings,
      Predicate<String> isRebooted,
      long nowMillis) {
    this.timing = timing;
    this.state = state;
    this.leases = leases;
    this.sightings = sightings;
    this.isRebooted = isRebooted;
    this.gatewayLosses = state.gateways().losses();
    this.gatewayLostAtMillis = nowMillis;
  }

  /**
   * Returns what has to be done.
   *
   * @param nowMillis time on the monotonic clock
   * @param wallMillis time on the wall clock, which tickets' starts go by
   */
  public Duties duties(long nowMillis, long wallMillis) {
    commands.clear();
    waiting.clear();
    watchGateways(nowMillis);
    settleShares(nowMillis);
    watchTargets(nowMillis);
    state.tickets().due(wallMillis).forEach(n -> commands.add(new Command.StartTicket(n)));
    markTicketsInForce(nowMillis);
    moveVms(nowMillis);
    return new Duties(commands, waiting);
  }

  private void watchGateways(long nowMillis) {
    GatewayTable gateways = state.gateways();
    if (gateways.losses() != gatewayLosses) {
      gatewayLosses = gateways.losses();
      gatewayLostAtMillis = nowMillis;
    }
    for (LeaseRequest request : leases.latest()) {
      String present = gateways.processOf(request.node()).orElse(null);
      boolean same = request.process().equals(present);
      if (request.stopping()) {
        dismiss(request, same);
      } else if (present == null || (!same && leases.isLapsed(present, nowMillis))) {
        commands.add(new Command.GatewayUp(request.node(), request.process()));
      }
    }
    Map<String, String> processByNode = gateways.image().processByNode();
    processByNode.forEach(
        (node, process) -> {
          if (leases.isLapsed(process, nowMillis)) {
            commands.add(new Command.GatewayDown(node, process, false));
            leases.forget(process);
          }
        });
  }

  private void dismiss(LeaseRequest request, boolean present) {
    if (present) {
      commands.add(new Command.GatewayDown(request.node(), request.process(), true));
    }
    leases.forget(request.process());
  }

  private void settleShares(long nowMillis) {
    GatewayTable gateways = state.gateways();
    if (!gateways.isChanging()) {
      return;
    }
    boolean quiet = gateways.leaving().isEmpty() || isQuiet(nowMillis);
    boolean settled =
        gateways.live().stream()
            .allMatch(
                p ->
                    leases
                        .latest(p)
                        .filter(r -> r.sharesVersion() >= gateways.version())
                        .isPresent());
    if (quiet && settled) {
      commands.add(new Command.SettleShares(gateways.version()));
    } else {
      waiting.add("shares " + gateways.version() + " wait for requests in progress");
    }
  }

  /** Returns whether no request of a lost gateway can still run on a target. */
  private boolean isQuiet(long nowMillis) {
    return nowMillis - gatewayLostAtMillis > timing.requestMaxMillis();
  }

  private void watchTargets(long nowMillis) {
    for (Vm vm : state.fleet().vms()) {
      if (vm.announcement() == null) {
        continue;
      }
      String instance = vm.announcement().instance();
      if (nowMillis - sightings.lastSeenMillis(vm.name(), instance, nowMillis)
          > timing.goneMillis()) {
        commands.add(new Command.MarkGone(vm.name(), instance));
        targetLosses.add(nowMillis);
      }
    }
    while (!targetLosses.isEmpty()
        && nowMillis - targetLosses.peek() > timing.pauseWindowMillis()) {
      targetLosses.remove();
    }
  }

  private void markTicketsInForce(long nowMillis) {
    for (TicketEntry entry : state.tickets().entries()) {
      if (entry.status() != TicketStatus.STARTED) {
        continue;
      }
      List<String> behind =
          processes().stream()
              .filter(p -> !hasApplied(p, entry.startedIndex()))
              .filter(p -> !leases.isLapsed(p, nowMillis))
              .toList();
      if (behind.isEmpty()) {
        commands.add(new Command.MarkInForce(entry.ticket().number()));
      } else {
        waiting.add("ticket " + entry.ticket().number() + " waits for gateways " + behind);
      }
    }
  }

  private Set<String> processes() {
    Set<String> processes = new HashSet<>(state.gateways().live());
    leases.latest().stream().filter(r -> !r.stopping()).forEach(r -> processes.add(r.process()));
    return processes;
  }

  private boolean hasApplied(String process, long index) {
    return leases.latest(process).filter(r -> r.appliedIndex() >= index).isPresent();
  }

  private void moveVms(long nowMillis) {
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
    leavingIndexByVm.keySet().retainAll(leaving);
    rebootingSinceByVm.keySet().retainAll(rebooting);
    if (targetLosses.size() >= timing.pauseLosses()) {
      waiting.add("waves are paused: " + targetLosses.size() + " targets were lost lately");
      return;
    }
    new WavePlanner(state.fleet(), vm -> 0)
        .next()
        .forEach(vm -> commands.add(stepOf(vm, MoveStep.LEAVE)));
  }

  private void finishDrain(Vm vm, long nowMillis) {
    long index = leavingIndexByVm.computeIfAbsent(vm.name(), v -> state.appliedIndex());
    List<String> busy =
        state.gateways().live().stream()
            .filter(
                p -> !hasApplied(p, index) || leases.latest(p).get().busyVms().contains(vm.name()))
            .toList();
    if (busy.isEmpty() && isQuiet(nowMillis)) {
      commands.add(stepOf(vm.name(), MoveStep.DRAINED));
    } else {
      waiting.add("VM " + vm.name() + " is draining, busy at " + busy);
    }
  }

  private void finishReboot(Vm vm, long nowMillis) {
    long since = rebootingSinceByVm.computeIfAbsent(vm.name(), v -> nowMillis);
    if (vm.announcement() != null && isRebooted.test(vm.name())) {
      commands.add(stepOf(vm.name(), MoveStep.RETURNED));
    } else if (nowMillis - since > timing.returnMillis()) {
      waiting.add("VM " + vm.name() + " has not returned from its reboot");
    }
  }

  private static Command.StepVm stepOf(String vm, MoveStep step) {
    return new Command.StepVm(vm, step);
  }
}
