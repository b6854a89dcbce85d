package org.plantainknot.core.job;

/**
 * Configuration of a service, which is a pool of workers.
 *
 * @param name name of the service
 * @param spare whether the pool is a reserve, whose machines are off until moved to another pool
 */
public record ServiceConfig(String name, boolean spare) {}
