package org.plantainknot.core.schedule;

import org.plantainknot.core.job.WorkerIncarnation;

/**
 * Worker that an order is addressed to.
 *
 * @param life the addressed incarnation
 * @param address address of its listener, {@code host:port}
 */
public record WorkerTarget(WorkerIncarnation life, String address) {}
