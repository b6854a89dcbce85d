package org.plantainknot.core.job;

/**
 * Copy of a task for snapshots.
 *
 * @param id identifier of the task
 * @param run number of the latest run
 * @param failedRuns number of failed runs
 * @param done whether the task is done
 * @param worker worker on which the latest run may be running, or null
 * @param checkpoint latest checkpoint, or an empty string
 */
public record TaskImage(
    TaskId id,
    int run,
    int failedRuns,
    boolean done,
    WorkerIncarnation worker,
    String checkpoint) {}
