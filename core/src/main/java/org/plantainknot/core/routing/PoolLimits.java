package org.plantainknot.core.routing;

/**
 * Bounds of a pool's queues.
 *
 * @param queueCapacity most requests that wait, for each service and kind
 */
public record PoolLimits(int queueCapacity) {

  /** Bounds for the sizes of today. */
  public static final PoolLimits DEFAULT = new PoolLimits(512);
}
