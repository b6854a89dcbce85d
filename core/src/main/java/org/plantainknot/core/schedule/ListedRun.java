package org.plantainknot.core.schedule;

import org.plantainknot.core.job.RunId;

/**
 * Run that a worker lists as running.
 *
 * @param run the run
 * @param checkpoint the latest saved checkpoint, or an empty string
 * @param percent progress in percent; for a persistent task, the extent to which it is operational
 * @param load tail latency in milliseconds for a serving task, processor use otherwise
 */
public record ListedRun(RunId run, String checkpoint, double percent, double load) {}
