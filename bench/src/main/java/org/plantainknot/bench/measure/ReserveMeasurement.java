package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.plantainknot.bench.cluster.SiteLayout;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.core.fleet.Announcement;

/**
 * Reserve at which the budgets hold through a wave with one rack lost, in virtual time.
 *
 * <p>The reserve is what a site has above the sum of its budgets. No site can do with less than one
 * VM to maintain and one lost with its rack in each pool, which is the bound. The baseline doesn't
 * know of racks and keeps a whole rack for each pool.
 */
final class ReserveMeasurement {

  private static final long MAX_MILLIS = 6L * 3_600_000;
  private static final long PLACEMENT_MILLIS = 900_000;
  private static final int POOLS = 5;
  private static final int VMS = 35;
  private static final int VMS_PER_RACK = 4;

  private final long seed;

  ReserveMeasurement(long seed) {
    this.seed = seed;
  }

  ObjectNode run() {
    int reserve = -1;
    int breaks = 0;
    for (int budget = VMS / POOLS; budget > 0 && reserve < 0; budget--) {
      SiteLayout site = new SiteLayout(SiteLayout.HOWRAH.services(), VMS, budget);
      int total = site.services().stream().mapToInt(site::budgetOf).sum();
      int brokenNow = breaksWithRackLost(site);
      if (brokenNow == 0) {
        reserve = VMS - total;
      } else if (brokenNow > 0) {
        breaks += brokenNow;
      }
    }
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "reserve").put("seed", seed).put("source", "core in virtual time");
    figures.put("reserve_vms", reserve);
    figures.put("reserve_bound_vms", 2 * POOLS);
    figures.put("reserve_baseline_vms", (1 + VMS_PER_RACK) * POOLS);
    figures.put("budget_breaks", breaks);
    measurePlacement(figures);
    return figures;
  }

  private void measurePlacement(ObjectNode figures) {
    PlacementSimulation product = new PlacementSimulation(seed, true);
    PlacementSimulation baseline = new PlacementSimulation(seed, false);
    figures.put("useful_work", round(product.run(PLACEMENT_MILLIS)));
    figures.put("useful_work_baseline", round(baseline.run(PLACEMENT_MILLIS)));
    figures.put("tasks_doubled", product.doubled());
    figures.put("urgent_start_p99_millis", product.urgentStartP99Millis());
  }

  private static double round(double value) {
    return Math.round(value * 1_000) / 1_000.0;
  }

  /** Returns the budget breaks over all racks that may be lost, or -1 if the ticket is refused. */
  private static int breaksWithRackLost(SiteLayout site) {
    int breaks = 0;
    List<Announcement> racks =
        WaveSimulation.placesOf(site.places("127.0.0.1", 9_000)).values().stream().toList();
    for (String rack :
        racks.stream().map(a -> a.dataCenter() + "/" + a.rack()).distinct().sorted().toList()) {
      WaveSimulation simulation;
      try {
        simulation = RolloutMeasurement.siteOf(site);
      } catch (PlantainknotException refused) {
        return -1;
      }
      simulation.file(RolloutMeasurement.wave(site));
      simulation.runUntil(() -> false, WaveSimulation.REBOOT_MILLIS / 2);
      simulation.loseRack(rack.split("/")[0], rack.split("/")[1]);
      simulation.runUntil(simulation::isSettled, MAX_MILLIS);
      breaks += simulation.budgetBreaks();
    }
    return breaks;
  }
}
