package org.plantainknot.core.replica;

/** Role of a member in its term. */
public enum Role {
  /** Follows a leader or waits for one. */
  FOLLOWER,
  /** Asks whether an election could be won. */
  PRE_CANDIDATE,
  /** Stands for election. */
  CANDIDATE,
  /** Commits entries. */
  LEADER
}
