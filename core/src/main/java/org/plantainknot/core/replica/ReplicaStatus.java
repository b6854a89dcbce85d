package org.plantainknot.core.replica;

/**
 * View of a member of the replicated log.
 *
 * @param self identity of the member
 * @param role role in the term
 * @param term current term
 * @param votedFor member that got the vote in this term, or null
 * @param leader leader of the term as far as known, or null
 * @param membership latest membership in the log, or null
 * @param commitIndex last index known to be committed
 * @param lastIndex last index in the log
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

  /** Returns whether the member leads. */
  public boolean isLeader() {
    return role == Role.LEADER;
  }
}
