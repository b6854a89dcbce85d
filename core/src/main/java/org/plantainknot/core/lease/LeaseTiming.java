package org.plantainknot.core.lease;

/**
 * Times of the gateways' leases.
 *
 * @param leaseMillis time for which a gateway may work after it sent its request for the lease
 * @param renewMillis interval between a gateway's requests
 * @param marginMillis time that is added for clocks that run at different speeds
 */
public record LeaseTiming(long leaseMillis, long renewMillis, long marginMillis) {

  /** Times for links of about a millisecond. */
  public static final LeaseTiming DEFAULT = new LeaseTiming(2_000, 300, 200);
}
