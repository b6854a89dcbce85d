package org.plantainknot.bench.measure;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Command line of the measurements. */
final class MeasureOptions {

  @Argument(
      index = 0,
      required = true,
      metaVar = "MEASUREMENT",
      usage = "flood, rollout, moves, reserve, failover, latency, slopes or round")
  private String measurement;

  @Option(name = "--seed", metaVar = "N", usage = "seed of all random choices")
  private long seed = 1;

  @Option(name = "--core-only", usage = "leave out what needs real daemons")
  private boolean coreOnly;

  String measurement() {
    return measurement;
  }

  long seed() {
    return seed;
  }

  boolean coreOnly() {
    return coreOnly;
  }
}
