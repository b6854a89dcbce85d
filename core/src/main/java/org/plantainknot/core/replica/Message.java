package org.plantainknot.core.replica;

import java.util.List;

/** Message between the members of the replicated log. */
public sealed interface Message {

  /** Term of the sender, or the term that a pre-vote would start. */
  long term();

  /**
   * Request for a vote.
   *
   * @param term term that the candidate runs for
   * @param lastIndex index of the candidate's last entry
   * @param lastTerm term of the candidate's last entry
   * @param preVote whether this is a pre-vote, which does not bind the voter
   * @param leadershipTransfer whether the election is part of a leadership transfer
   */
  record VoteRequest(
      long term, long lastIndex, long lastTerm, boolean preVote, boolean leadershipTransfer)
      implements Message {}

  /**
   * Reply to a vote request.
   *
   * @param term requested term if the vote is granted, otherwise the voter's term
   * @param preVote whether this is the reply to a pre-vote
   * @param granted whether the vote is granted
   */
  record VoteReply(long term, boolean preVote, boolean granted) implements Message {}

  /**
   * Entries from the leader; a heartbeat if there are none.
   *
   * @param term the leader's term
   * @param round number of the heartbeat round, echoed in the reply
   * @param previousIndex index of the entry that precedes {@code entries}
   * @param previousTerm term of the entry at {@code previousIndex}
   * @param entries entries to append, in order
   * @param commitIndex the leader's commit index
   */
  record Append(
      long term,
      long round,
      long previousIndex,
      long previousTerm,
      List<Entry> entries,
      long commitIndex)
      implements Message {

    /** Copies the entries. */
    public Append {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Reply to entries or a snapshot, sent after the receiver has synced them.
   *
   * @param term the receiver's term
   * @param round heartbeat round of the request
   * @param success whether the receiver's log contained the preceding entry
   * @param matchIndex last index known to match if successful, otherwise the index from which the
   *     leader continues its search for the last matching entry
   */
  record AppendReply(long term, long round, boolean success, long matchIndex) implements Message {}

  /**
   * Snapshot for a member whose next entry the leader has already compacted.
   *
   * @param term the leader's term
   * @param round number of the heartbeat round, echoed in the reply
   * @param snapshot latest snapshot of the leader
   */
  record InstallSnapshot(long term, long round, Snapshot snapshot) implements Message {}

  /**
   * Leadership transfer: asks the receiver to start an election immediately (Ongaro, section 3.10).
   *
   * @param term the leader's term
   */
  record TransferLeadership(long term) implements Message {}
}
