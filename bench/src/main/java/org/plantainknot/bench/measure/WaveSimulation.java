package org.plantainknot.bench.measure;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.plantainknot.bench.standin.TargetPlace;
import org.plantainknot.core.claim.ClaimLimits;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.control.MoveStep;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.fleet.Announcement;
import org.plantainknot.core.fleet.Budgets;
import org.plantainknot.core.fleet.Service;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.fleet.VmPhase;
import org.plantainknot.core.lease.LeaseRequest;
import org.plantainknot.core.lease.LeaseTable;
import org.plantainknot.core.lease.LeaseTiming;
import org.plantainknot.core.rollout.Coordinator;
import org.plantainknot.core.rollout.RolloutTiming;
import org.plantainknot.core.rollout.Sightings;
import org.plantainknot.core.ticket.Decision;
import org.plantainknot.core.ticket.Ticket;

/**
 * A site under the product's coordinator, in virtual time, with a fake platform and fake targets.
 */
final class WaveSimulation {

  static final long DRAIN_MILLIS = 2_000;
  static final long REBOOT_MILLIS = 60_000;

  private static final long STEP_MILLIS = 100;
  private static final long START_MILLIS = 100_000;
  private static final String NODE = "n1";
  private static final String PROCESS = "n1-process";

  private final ControlState state = new ControlState(ClaimLimits.DEFAULT);
  private final Map<String, Announcement> places = new HashMap<>();
  private final Map<String, Long> drainedAtByVm = new HashMap<>();
  private final Map<String, Long> upAtByVm = new HashMap<>();
  private final Set<String> rebooted = new HashSet<>();
  private final Set<String> lost = new HashSet<>();
  private final LeaseTable leases;
  private final Sightings sightings = new Sightings();
  private final Coordinator coordinator;
  private long index;
  private long sequence;
  private long nowMillis = START_MILLIS;
  private int moves;
  private int budgetBreaks;

  WaveSimulation(Ticket initial, Map<String, Announcement> places) {
    this.places.putAll(places);
    this.leases = new LeaseTable(LeaseTiming.DEFAULT, 0);
    apply(new Command.GatewayUp(NODE, PROCESS));
    enact(initial);
    places.forEach((vm, place) -> apply(new Command.Announce(vm, place)));
    this.coordinator =
        new Coordinator(RolloutTiming.DEFAULT, state, leases, sightings, rebooted::contains, 0);
  }

  ControlState state() {
    return state;
  }

  int moves() {
    return moves;
  }

  int budgetBreaks() {
    return budgetBreaks;
  }

  /** Returns what the leader has to do now, without doing it. */
  List<Command> duties() {
    return coordinator.duties(nowMillis, nowMillis).commands();
  }

  /** Files and approves a ticket; the coordinator starts it. */
  void file(Ticket ticket) {
    apply(new Command.FileTicket(ticket, "measure")).orThrow();
    apply(new Command.DecideTicket(ticket.number(), Decision.APPROVE, "measure")).orThrow();
  }

  /** Loses all VMs of a rack for good. */
  void loseRack(String dataCenter, String rack) {
    places.forEach(
        (vm, place) -> {
          if (place.dataCenter().equals(dataCenter) && place.rack().equals(rack)) {
            lost.add(vm);
          }
        });
  }

  /** Lets time pass until a condition holds, and returns the time taken, or -1 if it never did. */
  long runUntil(BooleanSupplier condition, long maxMillis) {
    long from = nowMillis;
    while (nowMillis - from < maxMillis) {
      if (condition.getAsBoolean()) {
        return nowMillis - from;
      }
      step();
    }
    return -1;
  }

  /** Returns whether nothing is left to be changed on VMs that are not lost. */
  boolean isSettled() {
    return state.fleet().vms().stream()
        .filter(vm -> !lost.contains(vm.name()))
        .noneMatch(vm -> vm.isChangePending() || !vm.phase().isServing());
  }

  private void step() {
    nowMillis += STEP_MILLIS;
    for (Vm vm : List.copyOf(state.fleet().vms())) {
      stepTarget(vm);
    }
    hear();
    List<Command> commands = coordinator.duties(nowMillis, nowMillis).commands();
    commands.forEach(this::apply);
    checkBudgets();
  }

  private void stepTarget(Vm vm) {
    if (lost.contains(vm.name())) {
      return;
    }
    if (vm.phase() == VmPhase.LEAVING) {
      drainedAtByVm.putIfAbsent(vm.name(), nowMillis + DRAIN_MILLIS);
    } else if (vm.phase() == VmPhase.REBOOTING) {
      reboot(vm);
    }
    if (vm.announcement() != null) {
      sightings.seen(vm.name(), vm.announcement().instance(), nowMillis);
    }
  }

  private void reboot(Vm vm) {
    long upAt = upAtByVm.computeIfAbsent(vm.name(), v -> nowMillis + REBOOT_MILLIS);
    if (nowMillis >= upAt && rebooted.add(vm.name())) {
      Announcement old = places.get(vm.name());
      Announcement fresh =
          new Announcement(
              old.instance() + "+",
              old.host(),
              old.port(),
              old.dataCenter(),
              old.rack(),
              old.slots(),
              old.connections());
      places.put(vm.name(), fresh);
      apply(new Command.Announce(vm.name(), fresh));
    }
  }

  private void hear() {
    Set<String> busy = new HashSet<>();
    drainedAtByVm.forEach(
        (vm, at) -> {
          if (at > nowMillis) {
            busy.add(vm);
          }
        });
    sequence++;
    leases.request(
        new LeaseRequest(
            NODE, PROCESS, sequence, state.appliedIndex(), state.gateways().version(), busy, false),
        sequence);
    leases.confirm(sequence, state.appliedIndex(), nowMillis);
  }

  private void enact(Ticket ticket) {
    file(ticket);
    apply(new Command.StartTicket(ticket.number())).orThrow();
    apply(new Command.MarkInForce(ticket.number())).orThrow();
  }

  private Result apply(Command command) {
    index++;
    Result result = state.apply(index, nowMillis, "c" + index, command);
    boolean accepted = result instanceof Result.Accepted;
    if (accepted && command instanceof Command.StepVm step) {
      moves += step.step() == MoveStep.LEAVE ? 1 : 0;
      if (step.step() == MoveStep.RETURNED || step.step() == MoveStep.DRAINED) {
        drainedAtByVm.remove(step.vm());
      }
      if (step.step() == MoveStep.RETURNED) {
        upAtByVm.remove(step.vm());
        rebooted.remove(step.vm());
      }
    }
    return result;
  }

  private void checkBudgets() {
    for (Service service : state.fleet().services()) {
      boolean holds = Budgets.available(state.fleet(), service) >= service.minAvailableVms();
      budgetBreaks += holds ? 0 : 1;
    }
  }

  static Map<String, Announcement> placesOf(List<TargetPlace> targets) {
    Map<String, Announcement> places = new HashMap<>();
    targets.forEach(
        t ->
            places.put(
                t.vm(),
                new Announcement(
                    t.vm() + "-1", t.host(), t.port(), t.dataCenter(), t.rack(), 8, 64)));
    return places;
  }
}
