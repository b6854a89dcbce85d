package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.plantainknot.core.admission.WorkKind;

/**
 * What the other work keeps in a flood, in virtual time.
 *
 * <p>Each queue in turn asks five times its mean, which is more than its pool holds, and then a
 * twentieth. The other work is that of the other services, and the other kinds of the flooded
 * service.
 */
final class FloodMeasurement {

  private static final double CAPACITY_PER_SECOND =
      FloodSimulation.VMS * FloodSimulation.SLOTS * 1_000.0 / FloodSimulation.SERVICE_MILLIS;
  private static final double MEAN_PER_SECOND = CAPACITY_PER_SECOND / 4;
  private static final int FLOOD_FACTOR = 5;
  private static final double EBB_FACTOR = 0.05;
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long FLOOD_MILLIS = 10_000;
  private static final long END_MILLIS = WARM_UP_MILLIS + 2 * FLOOD_MILLIS;
  private static final long SETTLE_MILLIS = 3_000;
  private static final long RISE_MILLIS = 1_000;

  private final long seed;

  FloodMeasurement(long seed) {
    this.seed = seed;
  }

  ObjectNode run() {
    double othersKept = 1;
    double kindsKept = 1;
    double use = 1;
    int overshoot = 0;
    for (WorkKind kind : WorkKind.values()) {
      for (int service = 0; service < FloodSimulation.SERVICES; service++) {
        FloodSimulation calm = simulate(SlotPolicy.STATIC_SHARE, -1, kind);
        FloodSimulation flood = simulate(SlotPolicy.STATIC_SHARE, service, kind);
        othersKept =
            Math.min(othersKept, otherServices(flood, service) / otherServices(calm, service));
        kindsKept = Math.min(kindsKept, otherKinds(flood, service, kind));
        use = Math.min(use, use(flood, service));
        overshoot = Math.max(overshoot, flood.mostInUse() - FloodSimulation.SLOTS);
      }
    }
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "flood").put("seed", seed).put("source", "core in virtual time");
    figures.put("others_kept", round(othersKept));
    figures.put("others_kept_baseline", round(baseline()));
    figures.put("other_kinds_kept", round(kindsKept));
    figures.put("flooded_use", round(use));
    figures.put("overshoot", overshoot);
    FloodSimulation owner = simulate(SlotPolicy.OWNER, 0, WorkKind.BULK);
    FloodSimulation alone = simulate(SlotPolicy.UNCOORDINATED, 0, WorkKind.BULK);
    figures.put("owner_flooded_use", round(use(owner, 0)));
    figures.put("owner_added_millis", SlotPolicy.OWNER.addedMillis(1));
    figures.put("uncoordinated_overshoot", alone.mostInUse() - FloodSimulation.SLOTS);
    return figures;
  }

  private FloodSimulation simulate(SlotPolicy policy, int flooded, WorkKind floodKind) {
    FloodSimulation simulation = new FloodSimulation(seed, policy, 1);
    long floodEnd = WARM_UP_MILLIS + FLOOD_MILLIS;
    for (int service = 0; service < FloodSimulation.SERVICES; service++) {
      for (WorkKind kind : WorkKind.values()) {
        double mean = MEAN_PER_SECOND * part(kind);
        boolean floods = service == flooded && kind == floodKind;
        simulation.arrivals(service, kind, mean, 0, WARM_UP_MILLIS);
        double extra = floods ? MEAN_PER_SECOND * (FLOOD_FACTOR - 1) : 0;
        simulation.arrivals(service, kind, mean + extra, WARM_UP_MILLIS, floodEnd);
        double ebb = floods ? EBB_FACTOR : 1;
        simulation.arrivals(service, kind, mean * ebb, floodEnd, END_MILLIS);
      }
    }
    simulation.window(WARM_UP_MILLIS + RISE_MILLIS, floodEnd);
    simulation.run(END_MILLIS + SETTLE_MILLIS);
    return simulation;
  }

  private static double part(WorkKind kind) {
    return switch (kind) {
      case URGENT -> 0.2;
      case NORMAL -> 0.5;
      case BULK -> 0.3;
    };
  }

  private static double otherServices(FloodSimulation simulation, int flooded) {
    double answered = 0;
    double sent = 0;
    for (int service = 0; service < FloodSimulation.SERVICES; service++) {
      for (WorkKind kind : WorkKind.values()) {
        answered += service == flooded ? 0 : simulation.answered(service, kind);
        sent += service == flooded ? 0 : simulation.sent(service, kind);
      }
    }
    return answered / sent;
  }

  private static double otherKinds(FloodSimulation simulation, int flooded, WorkKind floodKind) {
    double kept = 1;
    for (WorkKind kind : WorkKind.values()) {
      if (kind != floodKind) {
        kept =
            Math.min(
                kept, (double) simulation.answered(flooded, kind) / simulation.sent(flooded, kind));
      }
    }
    return kept;
  }

  /** Returns the answers in time during the flood over what the slots can carry. */
  private static double use(FloodSimulation simulation, int service) {
    double seconds = (FLOOD_MILLIS - RISE_MILLIS) / 1_000.0;
    return simulation.answeredInWindow(service) / (CAPACITY_PER_SECOND * seconds);
  }

  private double baseline() {
    double kept = 1;
    SharedFifo calm = fifo(-1);
    for (int flooded = 0; flooded < FloodSimulation.SERVICES; flooded++) {
      SharedFifo flood = fifo(flooded);
      double answeredCalm = 0;
      double answeredFlood = 0;
      for (int service = 0; service < FloodSimulation.SERVICES; service++) {
        answeredCalm += service == flooded ? 0 : calm.answered(service);
        answeredFlood += service == flooded ? 0 : flood.answered(service);
      }
      kept = Math.min(kept, answeredFlood / answeredCalm);
    }
    return kept;
  }

  private SharedFifo fifo(int flooded) {
    SharedFifo fifo = new SharedFifo(seed);
    long floodEnd = WARM_UP_MILLIS + FLOOD_MILLIS;
    for (int service = 0; service < FloodSimulation.SERVICES; service++) {
      boolean floods = service == flooded;
      fifo.arrivals(service, MEAN_PER_SECOND, 0, WARM_UP_MILLIS);
      fifo.arrivals(
          service, MEAN_PER_SECOND * (floods ? FLOOD_FACTOR : 1), WARM_UP_MILLIS, floodEnd);
      fifo.arrivals(service, MEAN_PER_SECOND * (floods ? EBB_FACTOR : 1), floodEnd, END_MILLIS);
    }
    fifo.run(END_MILLIS + SETTLE_MILLIS);
    return fifo;
  }

  private static double round(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }
}
