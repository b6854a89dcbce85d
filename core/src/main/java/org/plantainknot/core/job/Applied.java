package org.plantainknot.core.job;

/** Result of applying a command to the replicated job state. */
public enum Applied {
  /** The command changed the state. */
  CHANGED,
  /** The command was applied before, or the state already is as requested. */
  UNCHANGED,
  /** The command conflicts with the current state and changed nothing. */
  REFUSED,
  /** The command refers to an unknown job or queue. */
  UNKNOWN
}
