package org.plantainknot.bench.measure;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Command line options of {@code bin/measure}. */
final class MeasureOptions {

  @Argument(
      index = 0,
      required = true,
      metaVar = "MEASUREMENT",
      usage = "flood, rollout, moves, reserve, failover, latency, slopes or round")
  private String measurement;

  @Option(name = "--seed", metaVar = "N", usage = "random seed")
  private long seed = 1;

  @Option(name = "--core-only", usage = "skip the parts that need real daemons")
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
