package org.plantainknot.core.schedule;

import org.plantainknot.core.job.RunEnd;

/**
 * End of a run, as listed by a worker.
 *
 * @param number sequence number of the end within the incarnation of the worker
 * @param end the end
 */
public record ListedEnd(long number, RunEnd end) {}
