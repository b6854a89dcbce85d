package org.plantainknot.daemon.settings;

/** Role of an operator; each includes the ones before it. */
public enum OperatorRole {
  /** Reads tickets, status and dumps. */
  VIEW,
  /** Files and withdraws tickets. */
  FILE,
  /** Approves tickets and changes the cluster. */
  APPROVE;

  /** Returns whether this role includes the other. */
  public boolean includes(OperatorRole other) {
    return compareTo(other) >= 0;
  }
}
