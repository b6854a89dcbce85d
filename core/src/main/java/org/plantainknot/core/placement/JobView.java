package org.plantainknot.core.placement;

/**
 * A job for reports.
 *
 * @param job the job
 * @param phase where it stands
 * @param worker worker that runs it, or null
 * @param taskId identifier of its latest task
 * @param reason why it ended, or an empty text
 */
public record JobView(Job job, JobPhase phase, String worker, String taskId, String reason) {}
