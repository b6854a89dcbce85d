package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.plantainknot.daemon.control.StateCodec;

/** The measurements, by name. */
enum Measurement {
  /** Share of the other work that is still answered during a flood. */
  FLOOD {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new FloodMeasurement(seed).run();
    }
  },
  /** Duration of tickets and waves. */
  ROLLOUT {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new RolloutMeasurement(seed).run(coreOnly);
    }
  },
  /** Number of VM moves that tickets cause. */
  MOVES {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new MovesMeasurement(seed).run();
    }
  },
  /** Smallest reserve that keeps the budgets, and utilization by job placement. */
  RESERVE {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new ReserveMeasurement(seed).run();
    }
  },
  /** Unavailability after the loss of the leader, and commit throughput. */
  FAILOVER {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new FailoverMeasurement(seed).run();
    }
  },
  /** Latency that a daemon adds to a request, and its throughput. */
  LATENCY {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new LatencyMeasurement(seed).run();
    }
  },
  /** Growth of sizes and processor time with the size of the fleet. */
  SLOPES {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new SlopesMeasurement(seed).run();
    }
  },
  /** Cost of the leader's scheduling rounds. */
  ROUND {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return RoundMeasurement.run(seed);
    }
  };

  abstract ObjectNode run(long seed, boolean coreOnly);

  static Measurement parse(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  static ObjectNode figures() {
    return StateCodec.json().createObjectNode();
  }
}
