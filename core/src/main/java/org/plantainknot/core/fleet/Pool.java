package org.plantainknot.core.fleet;

/**
 * A pool of VMs.
 *
 * @param name name of the pool
 * @param ticket number of the ticket that holds the pool
 */
public record Pool(String name, long ticket) {}
