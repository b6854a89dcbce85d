package org.plantainknot.core.schedule;

import java.util.List;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.MachineOrder;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.StepId;
import org.plantainknot.core.job.WorkerLife;

/** What the leader has to do next. */
public sealed interface Action {

  /**
   * Puts a command into the replicated log.
   *
   * @param command the command
   */
  record Propose(JobCommand command) implements Action {}

  /**
   * Renews a worker's lease and asks for its report.
   *
   * @param target the worker
   * @param fence fencing token
   * @param lastSeen ends up to this number may be forgotten
   * @param untilMillis end of the lease on the worker's clock, or 0 to renew nothing
   * @param waitMillis time that the worker may wait for an end before it answers
   */
  record Renew(WorkerTarget target, long fence, long lastSeen, long untilMillis, long waitMillis)
      implements Action {}

  /**
   * Starts a run.
   *
   * @param target the worker
   * @param run the run
   * @param payload what to run
   * @param checkpoint where to resume, or an empty text
   * @param ticket what allows the worker to run the step, or an empty text
   * @param fence fencing token
   * @param untilMillis end of the lease on the worker's clock
   */
  record Start(
      WorkerTarget target,
      RunId run,
      String payload,
      String checkpoint,
      String ticket,
      long fence,
      long untilMillis)
      implements Action {}

  /**
   * Stops a run.
   *
   * @param target the worker
   * @param run the run
   * @param fence fencing token
   */
  record Stop(WorkerTarget target, RunId run, long fence) implements Action {}

  /**
   * Sets the share at which a run works.
   *
   * @param target the worker
   * @param run the run
   * @param percent share of full speed
   * @param fence fencing token
   */
  record Pace(WorkerTarget target, RunId run, int percent, long fence) implements Action {}

  /**
   * Sends an order for a machine to the platform.
   *
   * @param order the order
   * @param token fencing token
   */
  record SendMachineOrder(MachineOrder order, long token) implements Action {}

  /**
   * Asks a queue's policy which workers may run a step.
   *
   * @param step the step
   * @param workers the workers in question
   */
  record Advise(StepId step, List<WorkerLife> workers) implements Action {

    /** Copies the list. */
    public Advise {
      workers = List.copyOf(workers);
    }
  }

  /** Asks the platform for its list of machines. */
  record ListMachines() implements Action {}
}
