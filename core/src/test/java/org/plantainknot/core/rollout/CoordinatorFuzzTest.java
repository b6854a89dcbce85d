package org.plantainknot.core.rollout;

import static org.plantainknot.core.fuzz.Fuzz.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.control.MoveStep;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.fleet.Budgets;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.fleet.Service;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.fleet.VmPhase;
import org.plantainknot.core.fuzz.Fuzz;
import org.plantainknot.core.lease.GatewayLease;
import org.plantainknot.core.lease.LeaseRequest;
import org.plantainknot.core.lease.LeaseTable;
import org.plantainknot.core.lease.LeaseTiming;
import org.plantainknot.core.ticket.Decision;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.VmState;
import org.plantainknot.core.ticket.Ticket.Wave;
import org.testng.annotations.Test;

/** Fuzzes moves and waves with gateways that lag, freeze and crash, leader changes and lost VMs. */
public class CoordinatorFuzzTest {

  @Test
  void noStepViolatesABudgetOrInterruptsARequestAndNoVmIsRebootedTwiceForAWave() {
    Fuzz.run(400, 100, 900, actions -> new Model().run(actions));
  }

  /** Gateway with its applied part of the log and its requests in progress. */
  private static final class Gateway {
    private final String node;
    private final String process;
    private final GatewayLease lease = new GatewayLease();
    private final Map<String, Set<Long>> endsByVm = new HashMap<>();
    private Set<String> serving = Set.of();
    private long appliedIndex;
    private long sharesVersion;
    private boolean frozen;

    Gateway(String node, String process) {
      this.node = node;
      this.process = process;
    }

    boolean isBusyWith(String vm, long nowMillis) {
      return endsByVm.getOrDefault(vm, Set.of()).stream().anyMatch(end -> end > nowMillis);
    }
  }

  private static final class Model {

    private static final int VMS = 12;
    private static final LeaseTiming LEASES = new LeaseTiming(400, 100, 40);
    private static final RolloutTiming TIMING = new RolloutTiming(500, 1_000, 5_000, 3_000, 4);

    private final Fleets fleets = new Fleets();
    private final ControlState state = fleets.state();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Gateway> crashedGateways = new ArrayList<>();
    private final Set<String> downVms = new HashSet<>();
    private final Map<String, Integer> startsByVm = new HashMap<>();
    private final Set<String> rebootedVms = new HashSet<>();
    private final Map<String, Integer> rebootsByOrder = new HashMap<>();
    private LastSeenTimes lastSeenTimes;
    private LeaseTable leases;
    private Coordinator coordinator;
    private long nowMillis = 100_000;
    private long round;
    private int processCount;
    private long nextTicketNumber = 2;

    void run(List<Integer> actions) {
      fleets.setUpSite(2, VMS, 2, FailureDomain.RACK);
      for (int i = 0; i < 3; i++) {
        startGateway("n" + i);
      }
      changeLeader();
      actions.forEach(this::perform);
    }

    private void perform(int code) {
      int argument = code / 40;
      int action = code % 40;
      Gateway gateway = gateways.isEmpty() ? null : gateways.get(argument % gateways.size());
      nowMillis += 5;
      if (action < 10) {
        performDuties();
      } else if (action < 16 && gateway != null) {
        applyLog(gateway);
      } else if (action < 24 && gateway != null) {
        requestLease(gateway);
      } else if (action < 30 && gateway != null) {
        dispatch(gateway, argument);
      } else if (action < 33) {
        nowMillis += argument % 150;
      } else {
        injectFault(action, argument, gateway);
      }
      announceRunningVms();
      rebootVms();
    }

    private void injectFault(int action, int argument, Gateway gateway) {
      switch (action) {
        case 33 -> fileTicket(argument);
        case 34 -> changeLeader();
        case 35 -> {
          if (gateway != null) {
            gateway.frozen = !gateway.frozen;
          }
        }
        case 36 -> crashOrRestart(argument, gateway);
        case 37 -> {
          if (argument % 4 == 0) {
            downVms.add(Fleets.vm(argument / 4 % VMS));
          }
        }
        case 38 -> recoverVm(argument);
        default -> nowMillis += 200;
      }
    }

    private void startGateway(String node) {
      processCount++;
      gateways.add(new Gateway(node, node + "#" + processCount));
    }

    private void changeLeader() {
      lastSeenTimes = new LastSeenTimes();
      leases = new LeaseTable(LEASES, nowMillis);
      coordinator =
          new Coordinator(TIMING, state, leases, lastSeenTimes, rebootedVms::contains, nowMillis);
    }

    private void performDuties() {
      for (Command command : coordinator.duties(nowMillis, nowMillis).commands()) {
        Map<String, Vm> before = new HashMap<>();
        state.fleet().vms().forEach(vm -> before.put(vm.name(), vm));
        Result result = fleets.apply(command, nowMillis);
        if (result instanceof Result.Accepted && command instanceof Command.StepVm step) {
          checkStep(step, before.get(step.vm()));
        }
      }
    }

    private void checkStep(Command.StepVm step, Vm before) {
      if (step.step() == MoveStep.LEAVE) {
        for (Service service : state.fleet().servicesOf(before.pool())) {
          require(
              Budgets.available(state.fleet(), service) >= service.minAvailableVms(),
              step + " violates the budget of " + service.name());
        }
      } else if (step.step() == MoveStep.DRAINED) {
        List<Gateway> all = new ArrayList<>(gateways);
        all.addAll(crashedGateways);
        boolean busy = all.stream().anyMatch(g -> g.isBusyWith(step.vm(), nowMillis));
        require(!busy, step + " interrupts a request in progress");
      }
    }

    private void applyLog(Gateway gateway) {
      if (gateway.frozen) {
        return;
      }
      Set<String> serving = new HashSet<>();
      state.fleet().vms().stream().filter(Vm::isAvailable).forEach(vm -> serving.add(vm.name()));
      gateway.serving = serving;
      gateway.appliedIndex = state.appliedIndex();
      gateway.sharesVersion = state.gateways().version();
      gateway.lease.applied(gateway.appliedIndex);
    }

    private void requestLease(Gateway gateway) {
      if (gateway.frozen) {
        return;
      }
      Set<String> busy = new HashSet<>();
      gateway.endsByVm.keySet().stream()
          .filter(vm -> !gateway.serving.contains(vm) && gateway.isBusyWith(vm, nowMillis))
          .forEach(busy::add);
      long sequence = gateway.lease.request(nowMillis, nowMillis);
      round++;
      leases.request(
          new LeaseRequest(
              gateway.node,
              gateway.process,
              sequence,
              gateway.appliedIndex,
              gateway.sharesVersion,
              busy,
              false),
          round);
      for (LeaseRequest granted : leases.confirm(round, state.appliedIndex(), nowMillis)) {
        gateway.lease.granted(granted.sequence(), LEASES.leaseMillis(), state.appliedIndex());
      }
    }

    private void dispatch(Gateway gateway, int argument) {
      String vm = Fleets.vm(argument / 8 % VMS);
      boolean mayDispatch =
          !gateway.frozen
              && gateway.lease.isHeld(nowMillis, nowMillis)
              && gateway.serving.contains(vm);
      if (mayDispatch) {
        long end = nowMillis + argument % TIMING.requestMaxMillis();
        gateway.endsByVm.computeIfAbsent(vm, v -> new HashSet<>()).add(end);
      }
    }

    private void fileTicket(int argument) {
      long number = nextTicketNumber++;
      String pool = "p" + argument / 2 % 2;
      Ticket ticket =
          argument % 2 == 0
              ? new Ticket(
                  number, Ticket.ON_APPROVAL, "", null, null, null, List.of(new Wave(pool)))
              : new Ticket(
                  number,
                  Ticket.ON_APPROVAL,
                  "",
                  null,
                  null,
                  List.of(new VmState(Fleets.vm(argument / 4 % VMS), pool)),
                  null);
      fleets.apply(new Command.FileTicket(ticket, "test"), nowMillis);
      fleets.apply(new Command.DecideTicket(number, Decision.APPROVE, "test"), nowMillis);
    }

    private void crashOrRestart(int argument, Gateway gateway) {
      if (argument % 3 == 0 && gateway != null) {
        gateways.remove(gateway);
        crashedGateways.add(gateway);
      } else {
        for (int i = 0; i < 3; i++) {
          String node = "n" + i;
          if (gateways.stream().noneMatch(g -> g.node.equals(node))) {
            startGateway(node);
          }
        }
      }
    }

    private void recoverVm(int argument) {
      String vm = Fleets.vm(argument % VMS);
      if (downVms.remove(vm) && state.fleet().vm(vm).get().phase() != VmPhase.REBOOTING) {
        announceNewStart(vm);
      }
    }

    private void announceRunningVms() {
      for (Vm vm : state.fleet().vms()) {
        if (vm.announcement() != null && !downVms.contains(vm.name())) {
          lastSeenTimes.recordSeen(vm.name(), vm.announcement().instance(), nowMillis);
        } else if (vm.announcement() == null
            && !downVms.contains(vm.name())
            && vm.phase() != VmPhase.REBOOTING) {
          announceNewStart(vm.name());
        }
      }
    }

    /** Reboots VMs immediately, as a platform that ignores a repeated order of the same reboot. */
    private void rebootVms() {
      for (Vm vm : List.copyOf(state.fleet().vms())) {
        if (vm.phase() != VmPhase.REBOOTING) {
          rebootedVms.remove(vm.name());
        } else if (!downVms.contains(vm.name()) && rebootedVms.add(vm.name())) {
          String order = vm.rebootTicket() + vm.name();
          require(rebootsByOrder.merge(order, 1, Integer::sum) == 1, order + " rebooted twice");
          announceNewStart(vm.name());
        }
      }
    }

    private void announceNewStart(String vm) {
      int index = Integer.parseInt(vm.substring(2));
      int start = startsByVm.merge(vm, 1, Integer::sum);
      fleets.apply(
          new Command.Announce(vm, Fleets.announcement(index, "start" + start)), nowMillis);
    }
  }
}
