package org.plantainknot.core.replica;

/** Role of a member in the current term. */
public enum Role {
  /** Follows the leader, or waits for one to be elected. */
  FOLLOWER,
  /** Runs a pre-vote to find out whether it could win an election. */
  PRE_CANDIDATE,
  /** Runs for election. */
  CANDIDATE,
  /** Replicates and commits entries. */
  LEADER
}
