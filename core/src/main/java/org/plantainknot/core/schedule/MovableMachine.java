package org.plantainknot.core.schedule;

/**
 * Machine that may be moved to another pool.
 *
 * @param machine name of the machine
 * @param pool pool that it is in
 * @param spare whether it is in a spare pool and switched off
 * @param worker its worker, or null if it is switched off
 * @param runs number of runs that may be on it
 * @param persistent whether any of these belongs to a persistent task
 */
record MovableMachine(
    String machine,
    String pool,
    boolean spare,
    WorkerHeartbeat worker,
    int runs,
    boolean persistent) {

  static MovableMachine switchedOff(Machine machine) {
    return new MovableMachine(machine.name(), machine.pool(), true, null, 0, false);
  }

  boolean isIdle() {
    return runs == 0;
  }

  /** Returns whether the machine becomes idle on its own once it gets no new work. */
  boolean isDrainable() {
    return runs > 0 && !persistent;
  }
}
