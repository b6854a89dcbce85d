package org.plantainknot.core.replica;

/**
 * Status of a member of the replicated log.
 *
 * @param self identity of the member
 * @param role role in the current term
 * @param term current term
 * @param votedFor member voted for in this term, or null
 * @param leader leader of the current term, or null if unknown
 * @param membership latest membership in the log, or null
 * @param commitIndex last index known to be committed
 * @param lastIndex index of the last log entry
 */
public record ReplicaStatus(
    MemberId self,
    Role role,
    long term,
    MemberId votedFor,
    MemberId leader,
    Membership membership,
    long commitIndex,
    long lastIndex) {

  /** Returns whether the member is the leader. */
  public boolean isLeader() {
    return role == Role.LEADER;
  }
}
