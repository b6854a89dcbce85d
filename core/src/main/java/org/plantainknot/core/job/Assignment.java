package org.plantainknot.core.job;

/**
 * Decision to run a task on a worker.
 *
 * @param run run of the task
 * @param worker worker that is to execute the run
 */
public record Assignment(RunId run, WorkerIncarnation worker) {}
