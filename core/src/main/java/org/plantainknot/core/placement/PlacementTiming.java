package org.plantainknot.core.placement;

/**
 * Times and limits of the placement.
 *
 * @param leaseMillis time for which a worker runs a task without hearing of it
 * @param marginMillis time that is added for clocks and messages on their way
 * @param quarantineMillis time for which a failing worker gets no work
 * @param failuresToQuarantine number of different jobs that fail in a row on a worker
 * @param failuresToGiveUp number of different workers on which a job fails
 * @param floor part of the capacity that urgent work leaves to the rest
 * @param throttledPart part of the processor that a throttled task keeps
 */
public record PlacementTiming(
    long leaseMillis,
    long marginMillis,
    long quarantineMillis,
    int failuresToQuarantine,
    int failuresToGiveUp,
    double floor,
    double throttledPart) {

  /** Values for the sizes of today. */
  public static final PlacementTiming DEFAULT =
      new PlacementTiming(10_000, 1_000, 300_000, 3, 3, 0.2, 0.5);
}
