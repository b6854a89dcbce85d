package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.plantainknot.daemon.control.StateCodec;

/** The measurements, by name. */
enum Measurement {
  /** What the other work keeps in a flood. */
  FLOOD {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new FloodMeasurement(seed).run();
    }
  },
  /** How long tickets and waves take. */
  ROLLOUT {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new RolloutMeasurement(seed).run(coreOnly);
    }
  },
  /** How many moves a ticket causes. */
  MOVES {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new MovesMeasurement(seed).run();
    }
  },
  /** How small the reserve can be. */
  RESERVE {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new ReserveMeasurement(seed).run();
    }
  },
  /** What the loss of the leader costs, and what the log carries. */
  FAILOVER {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new FailoverMeasurement(seed).run();
    }
  },
  /** What a daemon adds to a request. */
  LATENCY {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new LatencyMeasurement(seed).run();
    }
  },
  /** How the costs grow with the fleet. */
  SLOPES {
    @Override
    ObjectNode run(long seed, boolean coreOnly) {
      return new SlopesMeasurement(seed).run();
    }
  },
  /** What the rounds of a leader cost. */
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
