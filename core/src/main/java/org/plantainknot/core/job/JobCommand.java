package org.plantainknot.core.job;

import java.util.List;

/** Command of the replicated log that changes the replicated job state. */
public sealed interface JobCommand {

  /**
   * Replaces the configuration if the new version is higher than the one in force.
   *
   * @param config new configuration
   */
  record PutConfig(FleetConfig config) implements JobCommand {}

  /**
   * Accepts a job. Has no effect if a job with the same identifier is known.
   *
   * @param spec job to accept
   */
  record Submit(JobSpec spec) implements JobCommand {}

  /**
   * Cancels a job, or the later submission of a job that is unknown. Refused if too many unknown
   * ones were cancelled lately.
   *
   * @param job identifier of the job
   */
  record Cancel(String job) implements JobCommand {}

  /**
   * Assigns tasks to workers. Committed before the workers are told to start the tasks.
   *
   * @param assignments runs and their workers
   */
  record Assign(List<Assignment> assignments) implements JobCommand {

    /** Makes a defensive copy of the list. */
    public Assign {
      assignments = List.copyOf(assignments);
    }
  }

  /**
   * Records run ends that a worker reported. Committed before the worker may discard them.
   *
   * @param worker worker incarnation that reported the ends
   * @param lastEnd highest sequence number of the recorded ends
   * @param ends ends to record
   */
  record NoteEnds(WorkerIncarnation worker, long lastEnd, List<RunEnd> ends) implements JobCommand {

    /** Makes a defensive copy of the list. */
    public NoteEnds {
      ends = List.copyOf(ends);
    }
  }

  /**
   * Gives up runs that are guaranteed not to be running now or later, and of which no end will be
   * recorded.
   *
   * @param runs runs to give up
   */
  record GiveUpRuns(List<RunId> runs) implements JobCommand {

    /** Makes a defensive copy of the list. */
    public GiveUpRuns {
      runs = List.copyOf(runs);
    }
  }

  /**
   * Starts a maintenance wave. Has no effect if the same wave was started before; refused if its
   * number belongs to a different wave.
   *
   * @param wave wave to start
   */
  record StartWave(MaintenanceWave wave) implements JobCommand {}

  /**
   * Records an order for a machine. Committed before the order is sent to the platform.
   *
   * @param order order for the machine
   */
  record OrderMachine(MachineOrder order) implements JobCommand {}

  /**
   * Resolves an order: the platform has either carried it out or never will.
   *
   * @param order order for the machine
   * @param carriedOut whether it was carried out
   */
  record SettleMachine(MachineOrder order, boolean carriedOut) implements JobCommand {}
}
