package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.plantainknot.core.admission.WorkKind;

/**
 * Measures how much of the other work is still answered during a flood, in virtual time.
 *
 * <p>In each run one queue receives five times its mean rate, which exceeds the capacity of its
 * pool, and then a twentieth of the mean. The other work is that of the other services, and of the
 * other kinds of the flooded service.
 */
final class FloodMeasurement {

  private static final double CAPACITY_PER_SECOND =
      FloodSimulation.VMS * FloodSimulation.SLOTS * 1_000.0 / FloodSimulation.MEAN_SERVICE_MILLIS;
  private static final double MEAN_PER_SECOND = CAPACITY_PER_SECOND / 4;
  private static final int FLOOD_FACTOR = 5;
  private static final double LOW_DEMAND_FACTOR = 0.05;
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long FLOOD_MILLIS = 10_000;
  private static final long ARRIVALS_END_MILLIS = WARM_UP_MILLIS + 2 * FLOOD_MILLIS;
  private static final long COOL_DOWN_MILLIS = 3_000;
  private static final long RAMP_UP_MILLIS = 1_000;

  private final long seed;

  FloodMeasurement(long seed) {
    this.seed = seed;
  }

  ObjectNode run() {
    double otherServicesRatio = 1;
    double otherKindsRatio = 1;
    double utilization = 1;
    int overshoot = 0;
    for (WorkKind kind : WorkKind.values()) {
      for (int service = 0; service < FloodSimulation.SERVICES; service++) {
        FloodSimulation unfloodedRun = simulate(SlotPolicy.STATIC_SHARE, -1, kind);
        FloodSimulation floodedRun = simulate(SlotPolicy.STATIC_SHARE, service, kind);
        otherServicesRatio =
            Math.min(
                otherServicesRatio,
                answeredRatioOfOtherServices(floodedRun, service)
                    / answeredRatioOfOtherServices(unfloodedRun, service));
        otherKindsRatio =
            Math.min(otherKindsRatio, answeredRatioOfOtherKinds(floodedRun, service, kind));
        utilization = Math.min(utilization, utilization(floodedRun, service));
        overshoot = Math.max(overshoot, floodedRun.maxInUse() - FloodSimulation.SLOTS);
      }
    }
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "flood").put("seed", seed).put("source", "core in virtual time");
    figures.put("others_kept", round(otherServicesRatio));
    figures.put("others_kept_baseline", round(sharedFifoRatio()));
    figures.put("other_kinds_kept", round(otherKindsRatio));
    figures.put("flooded_use", round(utilization));
    figures.put("overshoot", overshoot);
    FloodSimulation singleOwner = simulate(SlotPolicy.OWNER, 0, WorkKind.BULK);
    FloodSimulation uncoordinated = simulate(SlotPolicy.UNCOORDINATED, 0, WorkKind.BULK);
    figures.put("owner_flooded_use", round(utilization(singleOwner, 0)));
    figures.put("owner_added_millis", SlotPolicy.OWNER.addedMillis(1));
    figures.put("uncoordinated_overshoot", uncoordinated.maxInUse() - FloodSimulation.SLOTS);
    return figures;
  }

  private FloodSimulation simulate(SlotPolicy policy, int floodedService, WorkKind floodKind) {
    FloodSimulation simulation = new FloodSimulation(seed, policy, 1);
    long floodEnd = WARM_UP_MILLIS + FLOOD_MILLIS;
    for (int service = 0; service < FloodSimulation.SERVICES; service++) {
      for (WorkKind kind : WorkKind.values()) {
        double mean = MEAN_PER_SECOND * fractionOf(kind);
        boolean isFlooded = service == floodedService && kind == floodKind;
        simulation.addArrivals(service, kind, mean, 0, WARM_UP_MILLIS);
        double extra = isFlooded ? MEAN_PER_SECOND * (FLOOD_FACTOR - 1) : 0;
        simulation.addArrivals(service, kind, mean + extra, WARM_UP_MILLIS, floodEnd);
        double factor = isFlooded ? LOW_DEMAND_FACTOR : 1;
        simulation.addArrivals(service, kind, mean * factor, floodEnd, ARRIVALS_END_MILLIS);
      }
    }
    simulation.setWindow(WARM_UP_MILLIS + RAMP_UP_MILLIS, floodEnd);
    simulation.run(ARRIVALS_END_MILLIS + COOL_DOWN_MILLIS);
    return simulation;
  }

  private static double fractionOf(WorkKind kind) {
    return switch (kind) {
      case URGENT -> 0.2;
      case NORMAL -> 0.5;
      case BULK -> 0.3;
    };
  }

  private static double answeredRatioOfOtherServices(
      FloodSimulation simulation, int floodedService) {
    double answered = 0;
    double sent = 0;
    for (int service = 0; service < FloodSimulation.SERVICES; service++) {
      for (WorkKind kind : WorkKind.values()) {
        answered += service == floodedService ? 0 : simulation.answered(service, kind);
        sent += service == floodedService ? 0 : simulation.sent(service, kind);
      }
    }
    return answered / sent;
  }

  private static double answeredRatioOfOtherKinds(
      FloodSimulation simulation, int floodedService, WorkKind floodKind) {
    double ratio = 1;
    for (WorkKind kind : WorkKind.values()) {
      if (kind != floodKind) {
        ratio =
            Math.min(
                ratio,
                (double) simulation.answered(floodedService, kind)
                    / simulation.sent(floodedService, kind));
      }
    }
    return ratio;
  }

  /** Returns the answers in time during the flood, as a fraction of the capacity of the slots. */
  private static double utilization(FloodSimulation simulation, int service) {
    double seconds = (FLOOD_MILLIS - RAMP_UP_MILLIS) / 1_000.0;
    return simulation.answeredInWindow(service) / (CAPACITY_PER_SECOND * seconds);
  }

  private double sharedFifoRatio() {
    double ratio = 1;
    SharedFifo unfloodedRun = simulateSharedFifo(-1);
    for (int floodedService = 0; floodedService < FloodSimulation.SERVICES; floodedService++) {
      SharedFifo floodedRun = simulateSharedFifo(floodedService);
      double answeredUnflooded = 0;
      double answeredFlooded = 0;
      for (int service = 0; service < FloodSimulation.SERVICES; service++) {
        answeredUnflooded += service == floodedService ? 0 : unfloodedRun.answered(service);
        answeredFlooded += service == floodedService ? 0 : floodedRun.answered(service);
      }
      ratio = Math.min(ratio, answeredFlooded / answeredUnflooded);
    }
    return ratio;
  }

  private SharedFifo simulateSharedFifo(int floodedService) {
    SharedFifo fifo = new SharedFifo(seed);
    long floodEnd = WARM_UP_MILLIS + FLOOD_MILLIS;
    for (int service = 0; service < FloodSimulation.SERVICES; service++) {
      boolean isFlooded = service == floodedService;
      fifo.addArrivals(service, MEAN_PER_SECOND, 0, WARM_UP_MILLIS);
      fifo.addArrivals(
          service, MEAN_PER_SECOND * (isFlooded ? FLOOD_FACTOR : 1), WARM_UP_MILLIS, floodEnd);
      fifo.addArrivals(
          service,
          MEAN_PER_SECOND * (isFlooded ? LOW_DEMAND_FACTOR : 1),
          floodEnd,
          ARRIVALS_END_MILLIS);
    }
    fifo.run(ARRIVALS_END_MILLIS + COOL_DOWN_MILLIS);
    return fifo;
  }

  private static double round(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }
}
