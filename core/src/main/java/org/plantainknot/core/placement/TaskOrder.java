package org.plantainknot.core.placement;

/**
 * What a worker is told about a task.
 *
 * <p>A repeated order is the same order. A worker never starts a task that it was told to end, even
 * if the order to run it comes later.
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
   * @param leaseMillis time after the receipt of this order at which the worker ends the task by
   *     itself
   */
  record Run(String taskId, String jobId, String worker, long untilWorkerMillis)
      implements TaskOrder {}

  /**
   * Limits a task to a part of its processor.
   *
   * @param taskId identifier of the task
   * @param worker worker that runs it
   * @param part part of the processor, from 0 to 1
   */
  record Throttle(String taskId, String worker, double part) implements TaskOrder {}

  /**
   * Lets a task write a checkpoint and end.
   *
   * @param taskId identifier of the task
   * @param worker worker that runs it
   */
  record Checkpoint(String taskId, String worker) implements TaskOrder {}

  /**
   * Ends a task for good.
   *
   * @param taskId identifier of the task
   * @param worker worker that runs it
   */
  record Stop(String taskId, String worker) implements TaskOrder {}
}
