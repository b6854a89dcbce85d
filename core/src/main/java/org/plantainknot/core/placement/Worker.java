package org.plantainknot.core.placement;

/**
 * A worker as the platform describes it.
 *
 * @param name name of the worker's VM
 * @param capacity total resources of the worker
 */
public record Worker(String name, Resources capacity) {}
