package org.plantainknot.core.job;

/**
 * Cancellation of a job that was unknown then.
 *
 * @param job identifier of the job
 * @param atMillis time of the cancellation on the log's clock
 */
public record EarlyCancel(String job, long atMillis) {}
