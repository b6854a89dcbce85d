package org.plantainknot.core.job;

/**
 * Time of the latest order for a machine.
 *
 * @param machine name of the machine
 * @param atMillis time at which it was ordered or the order completed, on the log's clock
 */
public record OrderTime(String machine, long atMillis) {}
