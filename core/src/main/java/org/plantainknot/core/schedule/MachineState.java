package org.plantainknot.core.schedule;

/** State of a machine as reported by the platform. */
public enum MachineState {
  /** The machine runs its worker. */
  UP,
  /** The machine is being moved to another pool. */
  MOVING,
  /** The machine is under maintenance. */
  MAINTENANCE,
  /** The machine is not running. */
  DOWN
}
