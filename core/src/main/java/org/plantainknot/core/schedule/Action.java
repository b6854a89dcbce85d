package org.plantainknot.core.schedule;

import java.util.List;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.MachineOrder;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.StepId;
import org.plantainknot.core.job.WorkerIncarnation;

/** Action that a leader has to perform. */
public sealed interface Action {

  /**
   * Proposes a command for the replicated log.
   *
   * @param command the command
   */
  record Propose(JobCommand command) implements Action {}

  /**
   * Renews a worker's lease and requests its report.
   *
   * @param target the worker
   * @param fencingToken the leader's term; the receiver rejects actions of earlier terms
   * @param acknowledgedEnd highest end number that the worker may discard
   * @param untilMillis end of the lease on the worker's clock, or 0 to leave the lease unchanged
   * @param waitMillis time that the worker may wait for an end before it answers
   */
  record Renew(
      WorkerTarget target,
      long fencingToken,
      long acknowledgedEnd,
      long untilMillis,
      long waitMillis)
      implements Action {}

  /**
   * Starts a run.
   *
   * @param target the worker
   * @param run the run
   * @param payload the job's payload, passed to the worker
   * @param checkpoint the checkpoint to resume from, or an empty string
   * @param ticket ticket that permits the worker to run the step, or an empty string
   * @param fencingToken the leader's term; the receiver rejects actions of earlier terms
   * @param untilMillis end of the lease on the worker's clock
   */
  record Start(
      WorkerTarget target,
      RunId run,
      String payload,
      String checkpoint,
      String ticket,
      long fencingToken,
      long untilMillis)
      implements Action {}

  /**
   * Stops a run.
   *
   * @param target the worker
   * @param run the run
   * @param fencingToken the leader's term; the receiver rejects actions of earlier terms
   */
  record Stop(WorkerTarget target, RunId run, long fencingToken) implements Action {}

  /**
   * Sets the speed of a run.
   *
   * @param target the worker
   * @param run the run
   * @param percent percentage of full speed
   * @param fencingToken the leader's term; the receiver rejects actions of earlier terms
   */
  record Pace(WorkerTarget target, RunId run, int percent, long fencingToken) implements Action {}

  /**
   * Sends a machine order to the platform.
   *
   * @param order the order
   * @param fencingToken the leader's term; the receiver rejects actions of earlier terms
   */
  record SendMachineOrder(MachineOrder order, long fencingToken) implements Action {}

  /**
   * Queries a queue's policy for the workers that may run a step.
   *
   * @param step the step
   * @param workers the workers to check
   */
  record Advise(StepId step, List<WorkerIncarnation> workers) implements Action {

    /** Copies the list. */
    public Advise {
      workers = List.copyOf(workers);
    }
  }

  /** Requests the list of machines from the platform. */
  record ListMachines() implements Action {}
}
