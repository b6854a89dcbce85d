package org.plantainknot.core.replica;

import java.util.List;

/** Message between the members of the replicated log. */
public sealed interface Message {

  /** Term of the sender, or the term that a pre-vote asks about. */
  long term();

  /**
   * Request for a vote.
   *
   * @param term term that the candidate wants to lead
   * @param lastIndex index of the candidate's last entry
   * @param lastTerm term of the candidate's last entry
   * @param preVote whether only an opinion is asked for and nothing is promised
   * @param handOver whether the present leader asked for this election
   */
  record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote, boolean handOver)
      implements Message {}

  /**
   * Answer to a vote request.
   *
   * @param term term that was asked about if granted, else the voter's term
   * @param preVote whether this answers a pre-vote
   * @param granted whether the vote was given
   */
  record VoteReply(long term, boolean preVote, boolean granted) implements Message {}

  /**
   * Entries from the leader; without entries a heartbeat.
   *
   * @param term the leader's term
   * @param round number of the heartbeat round, echoed in the reply
   * @param previousIndex index of the entry before the first one sent
   * @param previousTerm term of that entry
   * @param entries entries in order
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
   * Answer to entries or to a snapshot, sent once the receiver has synced them.
   *
   * @param term the receiver's term
   * @param round round of the message that is answered
   * @param success whether the receiver's log matched
   * @param matchIndex last index known to match if successful, else the receiver's last index
   */
  record AppendReply(long term, long round, boolean success, long matchIndex) implements Message {}

  /**
   * Whole state for a member that is too far behind.
   *
   * @param term the leader's term
   * @param round number of the heartbeat round
   * @param snapshot the state
   */
  record InstallSnapshot(long term, long round, Snapshot snapshot) implements Message {}

  /**
   * Asks the receiver to stand for election at once, because the leader is stopping.
   *
   * @param term the leader's term
   */
  record HandOver(long term) implements Message {}
}
