package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.plantainknot.bench.cluster.SiteLayout;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.VmState;

/**
 * Counts the VM moves that tickets cause, in virtual time.
 *
 * <p>The lower bound is the number of VMs whose pool changes. The baseline moves every VM that a
 * ticket names, since each ticket states the whole desired state.
 */
final class MovesMeasurement {

  private static final int TICKETS = 20;
  private static final long MAX_MILLIS = 24L * 3_600_000;

  private final long seed;

  MovesMeasurement(long seed) {
    this.seed = seed;
  }

  ObjectNode run() {
    int moves = 0;
    int bound = 0;
    int baseline = 0;
    int unfinished = 0;
    int budgetViolations = 0;
    for (SiteLayout site : List.of(SiteLayout.HOWRAH, SiteLayout.CARONI)) {
      WaveSimulation simulation = RolloutMeasurement.newSimulation(site);
      SplittableRandom random = new SplittableRandom(seed);
      for (int number = 2; number < 2 + TICKETS; number++) {
        Ticket ticket = swapTicket(site, number, simulation, random);
        bound += countPoolChanges(simulation, ticket);
        baseline += ticket.vms().size();
        simulation.fileAndApprove(ticket);
        simulation.runUntil(() -> false, 1_000);
        unfinished += simulation.runUntil(simulation::isComplete, MAX_MILLIS) < 0 ? 1 : 0;
      }
      moves += simulation.moves();
      budgetViolations += simulation.budgetViolations();
    }
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "moves").put("seed", seed).put("source", "core in virtual time");
    figures.put("tickets", 2 * TICKETS).put("tickets_unsettled", unfinished);
    figures.put("moves", moves).put("moves_bound", bound).put("moves_baseline", baseline);
    figures.put("budget_breaks", budgetViolations);
    return figures;
  }

  /** Returns a ticket that names all VMs and swaps the pools of three random pairs. */
  private static Ticket swapTicket(
      SiteLayout site, long number, WaveSimulation simulation, SplittableRandom random) {
    List<VmState> desired = new ArrayList<>();
    simulation
        .state()
        .fleet()
        .vms()
        .forEach(vm -> desired.add(new VmState(vm.name(), vm.desiredPool())));
    for (int pair = 0; pair < 3; pair++) {
      int a = random.nextInt(site.vms());
      int b = random.nextInt(site.vms());
      VmState first = desired.get(a);
      VmState second = desired.get(b);
      desired.set(a, new VmState(first.name(), second.pool()));
      desired.set(b, new VmState(second.name(), first.pool()));
    }
    return new Ticket(number, Ticket.ON_APPROVAL, "exchange", null, null, desired, null);
  }

  private static int countPoolChanges(WaveSimulation simulation, Ticket ticket) {
    return (int)
        ticket.vms().stream()
            .filter(
                desired ->
                    !simulation
                        .state()
                        .fleet()
                        .vm(desired.name())
                        .get()
                        .pool()
                        .equals(desired.pool()))
            .count();
  }
}
