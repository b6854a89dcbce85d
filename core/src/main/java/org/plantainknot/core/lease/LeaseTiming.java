package org.plantainknot.core.lease;

/**
 * Timing of the gateway leases.
 *
 * @param leaseMillis lease duration, measured from the time at which the gateway sent its request
 * @param renewMillis interval between the lease requests of a gateway
 * @param marginMillis safety margin for clock drift between members
 */
public record LeaseTiming(long leaseMillis, long renewMillis, long marginMillis) {

  /** Timing for links with a latency of about one millisecond. */
  public static final LeaseTiming DEFAULT = new LeaseTiming(2_000, 300, 200);
}
