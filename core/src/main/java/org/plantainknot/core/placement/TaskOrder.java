package org.plantainknot.core.placement;

/**
 * Order to a worker about a task.
 *
 * <p>Orders are idempotent. A worker never starts a task that it was ordered to end, even if the
 * order to run it arrives later.
 */
public sealed interface TaskOrder {

  /** Identifier of the task, which names the job and the attempt. */
  String taskId();

  /**
   * Starts a task, or extends its lease.
   *
   * @param taskId identifier of the task
   * @param jobId job that it runs
   * @param worker worker that runs it
   * @param untilWorkerMillis end of the lease on the worker's clock, at which the worker ends the
   *     task by itself
   */
  record Run(String taskId, String jobId, String worker, long untilWorkerMillis)
      implements TaskOrder {}

  /**
   * Limits a task to a fraction of its processor reservation.
   *
   * @param taskId identifier of the task
   * @param worker worker that runs it
   * @param fraction fraction of the processor reservation, from 0 to 1
   */
  record Throttle(String taskId, String worker, double fraction) implements TaskOrder {}

  /**
   * Makes a task write a checkpoint and end.
   *
   * @param taskId identifier of the task
   * @param worker worker that runs it
   */
  record Checkpoint(String taskId, String worker) implements TaskOrder {}

  /**
   * Stops a task whose job is not to run again.
   *
   * @param taskId identifier of the task
   * @param worker worker that runs it
   */
  record Stop(String taskId, String worker) implements TaskOrder {}
}
