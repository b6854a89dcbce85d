package org.plantainknot.daemon.settings;

/** Role of an operator; each role includes the ones declared before it. */
public enum OperatorRole {
  /** Reads tickets, status and dumps. */
  VIEW,
  /** Files and withdraws tickets. */
  FILE,
  /** Approves tickets and changes the cluster. */
  APPROVE;

  /** Returns whether this role includes the permissions of the other. */
  public boolean includes(OperatorRole other) {
    return compareTo(other) >= 0;
  }
}
