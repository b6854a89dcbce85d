package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.plantainknot.bench.cluster.DaemonSite;
import org.plantainknot.bench.cluster.OperatorClient;
import org.plantainknot.bench.cluster.SiteLayout;
import org.plantainknot.core.fleet.Announcement;
import org.plantainknot.core.fleet.Budgets;
import org.plantainknot.core.fleet.Fleet;
import org.plantainknot.core.fleet.Service;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.VmState;
import org.plantainknot.core.ticket.Ticket.Wave;

/**
 * Measures the duration of a wave over a whole site in virtual time, and of tickets on real
 * daemons.
 *
 * <p>The lower bound for a pool is the number of its VMs divided by the largest number that its
 * budget allows to be unavailable at once, rounded up, times the time of a drain and a reboot. The
 * lower bound for a site is the largest of these.
 */
final class RolloutMeasurement {

  private static final long MEAN_SERVICE_MILLIS = 20;
  private static final int BASE_PORT = 24_000;
  private static final int TICKETS = 60;
  private static final long MAX_MILLIS = 24L * 3_600_000;
  private static final double MEDIAN = 50;
  private static final double P99 = 99;

  private final long seed;

  RolloutMeasurement(long seed) {
    this.seed = seed;
  }

  ObjectNode run(boolean coreOnly) {
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "rollout").put("seed", seed);
    figures.put("source", coreOnly ? "core in virtual time" : "core in virtual time and daemons");
    double ratio = 0;
    double baseline = 0;
    int budgetViolations = 0;
    for (SiteLayout site : List.of(SiteLayout.HOWRAH, SiteLayout.CARONI)) {
      WaveSimulation simulation = newSimulation(site);
      long lowerBound = lowerBoundMillis(simulation.state().fleet());
      simulation.fileAndApprove(waveTicket(site));
      long startDelayMillis = simulation.runUntil(() -> !simulation.isComplete(), MAX_MILLIS);
      long elapsedMillis =
          startDelayMillis < 0 ? -1 : simulation.runUntil(simulation::isComplete, MAX_MILLIS);
      ratio = Math.max(ratio, (double) elapsedMillis / lowerBound);
      baseline =
          Math.max(
              baseline,
              (double) site.vms()
                  * (WaveSimulation.DRAIN_MILLIS + WaveSimulation.REBOOT_MILLIS)
                  / lowerBound);
      budgetViolations += simulation.budgetViolations();
    }
    figures.put("wave_ratio", Math.round(ratio * 1_000) / 1_000.0);
    figures.put("wave_ratio_baseline", Math.round(baseline * 1_000) / 1_000.0);
    figures.put("budget_breaks", budgetViolations);
    if (!coreOnly) {
      measureDaemons(figures);
    }
    return figures;
  }

  static WaveSimulation newSimulation(SiteLayout site) {
    Map<String, Announcement> announcements =
        WaveSimulation.announcementsOf(site.targetLocations("127.0.0.1", 9_000));
    return new WaveSimulation(site.initialTicket(1), announcements);
  }

  static Ticket waveTicket(SiteLayout site) {
    List<Wave> waves = site.services().stream().map(SiteLayout::poolOf).map(Wave::new).toList();
    return new Ticket(2, Ticket.ON_APPROVAL, "wave", null, null, null, waves);
  }

  /** Returns the lower bound on the duration of a wave over all pools. */
  static long lowerBoundMillis(Fleet fleet) {
    long rounds = 0;
    for (Service service : fleet.services()) {
      List<Vm> members = fleet.vmsIn(service.pool());
      int unavailable = maxUnavailable(service, members);
      rounds = Math.max(rounds, (members.size() + unavailable - 1L) / unavailable);
    }
    return rounds * (WaveSimulation.DRAIN_MILLIS + WaveSimulation.REBOOT_MILLIS);
  }

  /** Returns the most VMs that may be unavailable, by exhaustive search over subsets. */
  private static int maxUnavailable(Service service, List<Vm> members) {
    int max = 0;
    for (int mask = 0; mask < 1 << members.size(); mask++) {
      List<Vm> staying = new ArrayList<>();
      for (int i = 0; i < members.size(); i++) {
        if ((mask >> i & 1) == 1) {
          staying.add(members.get(i));
        }
      }
      int unavailable = members.size() - staying.size();
      if (unavailable > max && Budgets.isMet(service, staying)) {
        max = unavailable;
      }
    }
    return max;
  }

  private void measureDaemons(ObjectNode figures) {
    Histogram inForce = new Histogram(3);
    try (DaemonSite site = new DaemonSite(BASE_PORT, seed, MEAN_SERVICE_MILLIS)) {
      site.start();
      String[] pools = {SiteLayout.poolOf("gate"), SiteLayout.poolOf("office")};
      for (int i = 0; i < TICKETS; i++) {
        long number = 100 + i;
        VmState vm = new VmState(SiteLayout.vmName(20 + i), pools[i % 2]);
        inForce.recordValue(site.inForceMillis(moveTicket(number, vm)));
      }
      String frozenNode = site.nonVoter();
      site.cluster().process(frozenNode).freeze();
      figures.put(
          "in_force_cut_off_millis",
          site.inForceMillis(moveTicket(500, new VmState("vm-later", pools[0]))));
      site.cluster().process(frozenNode).thaw();
      OperatorClient.sleep(100);
    }
    figures.put("tickets", TICKETS);
    figures.put("in_force_median_millis", inForce.getValueAtPercentile(MEDIAN));
    figures.put("in_force_p99_millis", inForce.getValueAtPercentile(P99));
  }

  private static Ticket moveTicket(long number, VmState vm) {
    return new Ticket(number, Ticket.ON_APPROVAL, "measure", null, null, List.of(vm), null);
  }
}
