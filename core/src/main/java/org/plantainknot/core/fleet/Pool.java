package org.plantainknot.core.fleet;

/**
 * A pool of VMs.
 *
 * @param name name of the pool
 * @param ticket number of the latest started ticket that defines the pool
 */
public record Pool(String name, long ticket) {}
