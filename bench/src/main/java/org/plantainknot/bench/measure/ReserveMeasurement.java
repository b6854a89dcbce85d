package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.plantainknot.bench.cluster.SiteLayout;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.core.fleet.Announcement;

/**
 * Measures the smallest reserve at which the budgets hold during a wave with the loss of one rack,
 * in virtual time.
 *
 * <p>The reserve is the number of VMs above the sum of the budgets. The lower bound is two VMs per
 * pool, one under maintenance and one lost with its rack. The baseline ignores racks, and so
 * reserves a whole rack for each pool.
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
    int totalViolations = 0;
    for (int budget = VMS / POOLS; budget > 0 && reserve < 0; budget--) {
      SiteLayout site = new SiteLayout(SiteLayout.HOWRAH.services(), VMS, budget);
      int total = site.services().stream().mapToInt(site::budgetOf).sum();
      int violations = violationsWithRackLost(site);
      if (violations == 0) {
        reserve = VMS - total;
      } else if (violations > 0) {
        totalViolations += violations;
      }
    }
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "reserve").put("seed", seed).put("source", "core in virtual time");
    figures.put("reserve_vms", reserve);
    figures.put("reserve_bound_vms", 2 * POOLS);
    figures.put("reserve_baseline_vms", (1 + VMS_PER_RACK) * POOLS);
    figures.put("budget_breaks", totalViolations);
    measurePlacement(figures);
    return figures;
  }

  private void measurePlacement(ObjectNode figures) {
    PlacementSimulation product = new PlacementSimulation(seed, true);
    PlacementSimulation baseline = new PlacementSimulation(seed, false);
    figures.put("useful_work", round(product.run(PLACEMENT_MILLIS)));
    figures.put("useful_work_baseline", round(baseline.run(PLACEMENT_MILLIS)));
    figures.put("tasks_doubled", product.duplicatedTasks());
    figures.put("urgent_start_p99_millis", product.urgentStartP99Millis());
  }

  private static double round(double value) {
    return Math.round(value * 1_000) / 1_000.0;
  }

  /** Returns the budget violations over the loss of each rack, or -1 if a ticket is refused. */
  private static int violationsWithRackLost(SiteLayout site) {
    int totalViolations = 0;
    List<Announcement> announcements =
        WaveSimulation.announcementsOf(site.targetLocations("127.0.0.1", 9_000)).values().stream()
            .toList();
    for (String rack :
        announcements.stream()
            .map(a -> a.dataCenter() + "/" + a.rack())
            .distinct()
            .sorted()
            .toList()) {
      WaveSimulation simulation;
      try {
        simulation = RolloutMeasurement.newSimulation(site);
      } catch (PlantainknotException refused) {
        return -1;
      }
      simulation.fileAndApprove(RolloutMeasurement.waveTicket(site));
      simulation.runUntil(() -> false, WaveSimulation.REBOOT_MILLIS / 2);
      simulation.loseRack(rack.split("/")[0], rack.split("/")[1]);
      simulation.runUntil(simulation::isComplete, MAX_MILLIS);
      totalViolations += simulation.budgetViolations();
    }
    return totalViolations;
  }
}
