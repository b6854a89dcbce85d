package org.plantainknot.core.placement;

/**
 * Read-only view of a job and its present state.
 *
 * @param job the job
 * @param phase present phase
 * @param worker worker that it is placed on, or null
 * @param taskId identifier of its latest task
 * @param reason reason for which it ended, or an empty string
 */
public record JobView(Job job, JobPhase phase, String worker, String taskId, String reason) {}
