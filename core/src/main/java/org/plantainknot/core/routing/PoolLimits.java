package org.plantainknot.core.routing;

/**
 * Bounds of a pool's queues.
 *
 * @param queueCapacity most requests that wait, for each service and kind
 * @param requestMaxMillis longest time that a request may run on a target
 */
public record PoolLimits(int queueCapacity, long requestMaxMillis) {

  /** Bounds for the sizes of today. */
  public static final PoolLimits DEFAULT = new PoolLimits(512, 10_000);
}
