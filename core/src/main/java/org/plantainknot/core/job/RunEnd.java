package org.plantainknot.core.job;

/**
 * End of a run as reported by its worker.
 *
 * @param run run that ended
 * @param kind how it ended
 * @param checkpoint checkpoint that the run saved, or an empty string
 */
public record RunEnd(RunId run, EndKind kind, String checkpoint) {}
