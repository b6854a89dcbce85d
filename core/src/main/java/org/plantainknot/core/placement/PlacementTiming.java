package org.plantainknot.core.placement;

/**
 * Durations and limits of the placement.
 *
 * @param leaseMillis time for which a worker runs a task after its last report, unless the lease is
 *     extended
 * @param marginMillis safety margin added to a lease before its task counts as ended
 * @param quarantineMillis time for which a quarantined worker gets no work
 * @param failuresToQuarantine number of different jobs that must fail in a row on a worker to
 *     quarantine it
 * @param failuresToGiveUp number of different workers on which a job must fail to be given up
 * @param nonUrgentFloor fraction of all processors at which urgent work preempts no further
 *     non-urgent work
 * @param throttledFraction fraction of its processor reservation that a throttled task keeps
 */
public record PlacementTiming(
    long leaseMillis,
    long marginMillis,
    long quarantineMillis,
    int failuresToQuarantine,
    int failuresToGiveUp,
    double nonUrgentFloor,
    double throttledFraction) {

  /** Defaults for the current cluster size. */
  public static final PlacementTiming DEFAULT =
      new PlacementTiming(10_000, 1_000, 300_000, 3, 3, 0.2, 0.5);
}
