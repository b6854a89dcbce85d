package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.plantainknot.bench.cluster.SiteLayout;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.VmState;

/**
 * Moves that tickets cause, in virtual time.
 *
 * <p>The bound is the number of VMs whose pool differs. The baseline moves every VM that a ticket
 * names, since each ticket states the whole new state.
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
    int unsettled = 0;
    int breaks = 0;
    for (SiteLayout site : List.of(SiteLayout.HOWRAH, SiteLayout.CARONI)) {
      WaveSimulation simulation = RolloutMeasurement.siteOf(site);
      SplittableRandom random = new SplittableRandom(seed);
      for (int number = 2; number < 2 + TICKETS; number++) {
        Ticket ticket = exchange(site, number, simulation, random);
        bound += differing(simulation, ticket);
        baseline += ticket.vms().size();
        simulation.file(ticket);
        simulation.runUntil(() -> false, 1_000);
        unsettled += simulation.runUntil(simulation::isSettled, MAX_MILLIS) < 0 ? 1 : 0;
      }
      moves += simulation.moves();
      breaks += simulation.budgetBreaks();
    }
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "moves").put("seed", seed).put("source", "core in virtual time");
    figures.put("tickets", 2 * TICKETS).put("tickets_unsettled", unsettled);
    figures.put("moves", moves).put("moves_bound", bound).put("moves_baseline", baseline);
    figures.put("budget_breaks", breaks);
    return figures;
  }

  /** Returns a ticket that names all VMs, of which some pairs exchange their pools. */
  private static Ticket exchange(
      SiteLayout site, long number, WaveSimulation simulation, SplittableRandom random) {
    List<VmState> wanted = new ArrayList<>();
    simulation
        .state()
        .fleet()
        .vms()
        .forEach(vm -> wanted.add(new VmState(vm.name(), vm.desiredPool())));
    for (int pair = 0; pair < 3; pair++) {
      int a = random.nextInt(site.vms());
      int b = random.nextInt(site.vms());
      VmState first = wanted.get(a);
      VmState second = wanted.get(b);
      wanted.set(a, new VmState(first.name(), second.pool()));
      wanted.set(b, new VmState(second.name(), first.pool()));
    }
    return new Ticket(number, Ticket.ON_APPROVAL, "exchange", null, null, wanted, null);
  }

  private static int differing(WaveSimulation simulation, Ticket ticket) {
    return (int)
        ticket.vms().stream()
            .filter(
                wanted ->
                    !simulation
                        .state()
                        .fleet()
                        .vm(wanted.name())
                        .get()
                        .pool()
                        .equals(wanted.pool()))
            .count();
  }
}
