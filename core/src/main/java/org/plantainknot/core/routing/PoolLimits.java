package org.plantainknot.core.routing;

/**
 * Limits of a pool.
 *
 * @param queueCapacity maximum number of waiting requests for each service and kind
 * @param requestMaxMillis maximum time that a request may run on a target
 */
public record PoolLimits(int queueCapacity, long requestMaxMillis) {

  /** Default limits, chosen for the current fleet sizes. */
  public static final PoolLimits DEFAULT = new PoolLimits(512, 10_000);
}
