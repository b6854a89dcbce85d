package org.plantainknot.core.schedule;

/**
 * Timing parameters of the dispatcher.
 *
 * @param leaseMillis maximum lease that a worker accepts
 * @param renewWaitMillis maximum time that a worker waits for a run to end before it answers a
 *     renewal
 * @param retryMillis time after which an unanswered order is retried
 * @param stopMillis time that a worker needs to stop a run
 * @param leaderWaitMillis time that a new leader waits before it issues machine orders
 * @param maintenanceMillis duration of the maintenance of a machine
 * @param absenceMillis time after which a persistent task that is not operational counts as absent
 */
public record DispatchTiming(
    long leaseMillis,
    long renewWaitMillis,
    long retryMillis,
    long stopMillis,
    long leaderWaitMillis,
    long maintenanceMillis,
    long absenceMillis) {

  /** Minimum rate of a worker's clock relative to the leader's clock. */
  public static final double SLOWEST_CLOCK = 0.98;
}
