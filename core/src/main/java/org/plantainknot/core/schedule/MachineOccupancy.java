package org.plantainknot.core.schedule;

/**
 * Tells whether work may be on a machine, as far as a leader can know.
 *
 * <p>Committed assignments name every run that may be at work, but name its worker only. Heartbeats
 * and the platform's list tell on which machine a worker is. A worker that a leader hasn't heard
 * from yet may be on any machine, so silence is never taken for an empty machine. Not thread-safe.
 */
final class MachineOccupancy {

  private final WorkerDirectory directory;
  private final Dispatcher dispatcher;
  private final Planner planner;
  private final MachineTable machines;

  MachineOccupancy(
      WorkerDirectory directory, Dispatcher dispatcher, Planner planner, MachineTable machines) {
    this.directory = directory;
    this.dispatcher = dispatcher;
    this.planner = planner;
    this.machines = machines;
  }

  /**
   * Returns the latest worker of a machine, according to its heartbeats or the platform's list, or
   * null.
   */
  WorkerHeartbeat latestWorkerOf(String machine) {
    Machine listed = machines.find(machine);
    WorkerHeartbeat latest = null;
    for (WorkerHeartbeat worker : directory.all()) {
      boolean same =
          worker.machine().equals(machine)
              || (listed != null && worker.life().worker().equals(listed.worker()));
      boolean later = latest == null || worker.life().bornMillis() > latest.life().bornMillis();
      if (same && later) {
        latest = worker;
      }
    }
    return latest;
  }

  /** Returns whether work may be on the workers that are known to be on a machine. */
  boolean holdsWork(String machine) {
    return holdsWork(machine, latestWorkerOf(machine));
  }

  private boolean holdsWork(String machine, WorkerHeartbeat latest) {
    Machine listed = machines.find(machine);
    return (latest != null && !planner.isIdle(latest))
        || (listed != null && dispatcher.workersWithRuns().contains(listed.worker()));
  }

  /**
   * Returns whether no work can be on a machine: its worker has answered lately and is idle, or all
   * work is on workers that are known to be on other machines.
   */
  boolean isCertainlyEmpty(String machine, long nowMillis) {
    WorkerHeartbeat latest = latestWorkerOf(machine);
    if (!machines.isKnown() || holdsWork(machine, latest)) {
      return false;
    }
    boolean answering = latest != null && dispatcher.isAnswering(latest.life(), nowMillis);
    return answering || dispatcher.workersWithRuns().stream().allMatch(this::isLocated);
  }

  private boolean isLocated(String worker) {
    return machines.workers().contains(worker)
        || directory.find(worker).filter(known -> !known.machine().isEmpty()).isPresent();
  }
}
