package org.plantainknot.bench.measure;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.plantainknot.bench.standin.TargetLocation;
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
import org.plantainknot.core.rollout.LastSeenTimes;
import org.plantainknot.core.rollout.RolloutTiming;
import org.plantainknot.core.ticket.Decision;
import org.plantainknot.core.ticket.Ticket;

/**
 * Simulates a site under the production coordinator in virtual time, with a fake platform and fake
 * targets.
 */
final class WaveSimulation {

  static final long DRAIN_MILLIS = 2_000;
  static final long REBOOT_MILLIS = 60_000;

  private static final long STEP_MILLIS = 100;
  private static final long START_MILLIS = 100_000;
  private static final String GATEWAY_NODE = "n1";
  private static final String GATEWAY_PROCESS = "n1-process";

  private final ControlState state = new ControlState(ClaimLimits.DEFAULT);
  private final Map<String, Announcement> announcementByVm = new HashMap<>();
  private final Map<String, Long> drainedAtByVm = new HashMap<>();
  private final Map<String, Long> upAtByVm = new HashMap<>();
  private final Set<String> rebooted = new HashSet<>();
  private final Set<String> lostVms = new HashSet<>();
  private final LeaseTable leases;
  private final LastSeenTimes lastSeenTimes = new LastSeenTimes();
  private final Coordinator coordinator;
  private long index;
  private long sequence;
  private long nowMillis = START_MILLIS;
  private int moves;
  private int budgetViolations;

  WaveSimulation(Ticket initial, Map<String, Announcement> announcementByVm) {
    this.announcementByVm.putAll(announcementByVm);
    this.leases = new LeaseTable(LeaseTiming.DEFAULT, 0);
    apply(new Command.GatewayUp(GATEWAY_NODE, GATEWAY_PROCESS));
    putInForce(initial);
    announcementByVm.forEach((vm, announcement) -> apply(new Command.Announce(vm, announcement)));
    this.coordinator =
        new Coordinator(RolloutTiming.DEFAULT, state, leases, lastSeenTimes, rebooted::contains, 0);
  }

  ControlState state() {
    return state;
  }

  int moves() {
    return moves;
  }

  int budgetViolations() {
    return budgetViolations;
  }

  /** Returns the commands that the coordinator would issue now, without applying them. */
  List<Command> duties() {
    return coordinator.duties(nowMillis, nowMillis).commands();
  }

  /** Files and approves a ticket, which the coordinator then starts. */
  void fileAndApprove(Ticket ticket) {
    apply(new Command.FileTicket(ticket, "measure")).orThrow();
    apply(new Command.DecideTicket(ticket.number(), Decision.APPROVE, "measure")).orThrow();
  }

  /** Makes all VMs of a rack fail permanently. */
  void loseRack(String dataCenter, String rack) {
    announcementByVm.forEach(
        (vm, announcement) -> {
          if (announcement.dataCenter().equals(dataCenter) && announcement.rack().equals(rack)) {
            lostVms.add(vm);
          }
        });
  }

  /**
   * Advances the virtual time until a condition holds.
   *
   * @return the virtual time that this took, or -1 if the limit was reached first
   */
  long runUntil(BooleanSupplier condition, long maxMillis) {
    long startMillis = nowMillis;
    while (nowMillis - startMillis < maxMillis) {
      if (condition.getAsBoolean()) {
        return nowMillis - startMillis;
      }
      step();
    }
    return -1;
  }

  /** Returns whether all VMs that are not lost are serving and have no pending change. */
  boolean isComplete() {
    return state.fleet().vms().stream()
        .filter(vm -> !lostVms.contains(vm.name()))
        .noneMatch(vm -> vm.isChangePending() || !vm.phase().isServing());
  }

  private void step() {
    nowMillis += STEP_MILLIS;
    for (Vm vm : List.copyOf(state.fleet().vms())) {
      stepTarget(vm);
    }
    renewLease();
    List<Command> commands = coordinator.duties(nowMillis, nowMillis).commands();
    commands.forEach(this::apply);
    countBudgetViolations();
  }

  private void stepTarget(Vm vm) {
    if (lostVms.contains(vm.name())) {
      return;
    }
    if (vm.phase() == VmPhase.LEAVING) {
      drainedAtByVm.putIfAbsent(vm.name(), nowMillis + DRAIN_MILLIS);
    } else if (vm.phase() == VmPhase.REBOOTING) {
      stepReboot(vm);
    }
    if (vm.announcement() != null) {
      lastSeenTimes.recordSeen(vm.name(), vm.announcement().instance(), nowMillis);
    }
  }

  private void stepReboot(Vm vm) {
    long upAt = upAtByVm.computeIfAbsent(vm.name(), v -> nowMillis + REBOOT_MILLIS);
    if (nowMillis >= upAt && rebooted.add(vm.name())) {
      Announcement old = announcementByVm.get(vm.name());
      Announcement updated =
          new Announcement(
              old.instance() + "+",
              old.host(),
              old.port(),
              old.dataCenter(),
              old.rack(),
              old.slots(),
              old.connections());
      announcementByVm.put(vm.name(), updated);
      apply(new Command.Announce(vm.name(), updated));
    }
  }

  private void renewLease() {
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
            GATEWAY_NODE,
            GATEWAY_PROCESS,
            sequence,
            state.appliedIndex(),
            state.gateways().version(),
            busy,
            false),
        sequence);
    leases.confirm(sequence, state.appliedIndex(), nowMillis);
  }

  private void putInForce(Ticket ticket) {
    fileAndApprove(ticket);
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

  private void countBudgetViolations() {
    for (Service service : state.fleet().services()) {
      boolean holds = Budgets.available(state.fleet(), service) >= service.minAvailableVms();
      budgetViolations += holds ? 0 : 1;
    }
  }

  static Map<String, Announcement> announcementsOf(List<TargetLocation> targets) {
    Map<String, Announcement> announcementByVm = new HashMap<>();
    targets.forEach(
        target ->
            announcementByVm.put(
                target.vm(),
                new Announcement(
                    target.vm() + "-1",
                    target.host(),
                    target.port(),
                    target.dataCenter(),
                    target.rack(),
                    8,
                    64)));
    return announcementByVm;
  }
}
