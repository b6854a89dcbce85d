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
 * Time of a wave over a whole site in virtual time, and of tickets on real daemons.
 *
 * <p>Unavoidable is, for each pool, the number of its VMs over the most that its budget lets be
 * away at a time, rounded up, times the time of a drain and a reboot; for the site, the longest of
 * these.
 */
final class RolloutMeasurement {

  private static final long SERVICE_MILLIS = 20;
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
    int breaks = 0;
    for (SiteLayout site : List.of(SiteLayout.HOWRAH, SiteLayout.CARONI)) {
      WaveSimulation simulation = siteOf(site);
      long unavoidable = unavoidableMillis(simulation.state().fleet());
      simulation.file(wave(site));
      long from = simulation.runUntil(() -> !simulation.isSettled(), MAX_MILLIS);
      long took = from < 0 ? -1 : simulation.runUntil(simulation::isSettled, MAX_MILLIS);
      ratio = Math.max(ratio, (double) took / unavoidable);
      baseline =
          Math.max(
              baseline,
              (double) site.vms()
                  * (WaveSimulation.DRAIN_MILLIS + WaveSimulation.REBOOT_MILLIS)
                  / unavoidable);
      breaks += simulation.budgetBreaks();
    }
    figures.put("wave_ratio", Math.round(ratio * 1_000) / 1_000.0);
    figures.put("wave_ratio_baseline", Math.round(baseline * 1_000) / 1_000.0);
    figures.put("budget_breaks", breaks);
    if (!coreOnly) {
      measureDaemons(figures);
    }
    return figures;
  }

  static WaveSimulation siteOf(SiteLayout site) {
    Map<String, Announcement> places = WaveSimulation.placesOf(site.places("127.0.0.1", 9_000));
    return new WaveSimulation(site.initialTicket(1), places);
  }

  static Ticket wave(SiteLayout site) {
    List<Wave> waves = site.services().stream().map(SiteLayout::poolOf).map(Wave::new).toList();
    return new Ticket(2, Ticket.ON_APPROVAL, "wave", null, null, null, waves);
  }

  /** Returns the time that budgets and reboots make unavoidable. */
  static long unavoidableMillis(Fleet fleet) {
    long rounds = 0;
    for (Service service : fleet.services()) {
      List<Vm> members = fleet.vmsIn(service.pool());
      int away = mostAway(service, members);
      rounds = Math.max(rounds, (members.size() + away - 1L) / away);
    }
    return rounds * (WaveSimulation.DRAIN_MILLIS + WaveSimulation.REBOOT_MILLIS);
  }

  /** Tries all sets of VMs that stay, and returns the largest number that may be away. */
  private static int mostAway(Service service, List<Vm> members) {
    int most = 0;
    for (int stay = 0; stay < 1 << members.size(); stay++) {
      List<Vm> staying = new ArrayList<>();
      for (int i = 0; i < members.size(); i++) {
        if ((stay >> i & 1) == 1) {
          staying.add(members.get(i));
        }
      }
      int away = members.size() - staying.size();
      if (away > most && Budgets.holds(service, staying)) {
        most = away;
      }
    }
    return most;
  }

  private void measureDaemons(ObjectNode figures) {
    Histogram inForce = new Histogram(3);
    try (DaemonSite site = new DaemonSite(BASE_PORT, seed, SERVICE_MILLIS)) {
      site.start();
      String[] pools = {SiteLayout.poolOf("gate"), SiteLayout.poolOf("office")};
      for (int i = 0; i < TICKETS; i++) {
        long number = 100 + i;
        VmState vm = new VmState(SiteLayout.vmName(20 + i), pools[i % 2]);
        inForce.recordValue(site.inForceMillis(ticket(number, vm)));
      }
      String cutOff = site.follower();
      site.cluster().process(cutOff).freeze();
      figures.put(
          "in_force_cut_off_millis",
          site.inForceMillis(ticket(500, new VmState("vm-later", pools[0]))));
      site.cluster().process(cutOff).thaw();
      OperatorClient.sleep(100);
    }
    figures.put("tickets", TICKETS);
    figures.put("in_force_median_millis", inForce.getValueAtPercentile(MEDIAN));
    figures.put("in_force_p99_millis", inForce.getValueAtPercentile(P99));
  }

  private static Ticket ticket(long number, VmState vm) {
    return new Ticket(number, Ticket.ON_APPROVAL, "measure", null, null, List.of(vm), null);
  }
}
