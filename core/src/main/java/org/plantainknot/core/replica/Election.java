package org.plantainknot.core.replica;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.plantainknot.core.replica.LogRecord.HardState;
import org.plantainknot.core.replica.Message.VoteRequest;

/** Current term, vote and election timer of a member. */
final class Election {

  private final ReplicaTiming timing;
  private final SplittableRandom random;
  private final Outbox outbox;
  private long term;
  private MemberId votedFor;
  private final Set<MemberId> votes = new HashSet<>();
  private long timeoutAtMillis;
  private long leaderContactAtMillis = Long.MIN_VALUE / 2;

  Election(ReplicaTiming timing, HardState stored, Outbox outbox, long seed, long nowMillis) {
    this.timing = timing;
    this.random = new SplittableRandom(seed);
    this.outbox = outbox;
    this.term = stored.term();
    this.votedFor = stored.votedFor();
    resetTimer(nowMillis);
  }

  long term() {
    return term;
  }

  MemberId votedFor() {
    return votedFor;
  }

  boolean isTimedOut(long nowMillis) {
    return nowMillis >= timeoutAtMillis;
  }

  void resetTimer(long nowMillis) {
    timeoutAtMillis =
        nowMillis
            + random.nextLong(
                timing.minElectionTimeoutMillis(), timing.maxElectionTimeoutMillis() + 1);
  }

  void recordLeaderContact(long nowMillis) {
    leaderContactAtMillis = nowMillis;
    resetTimer(nowMillis);
  }

  /** Returns whether a leader was heard within the shortest election timeout. */
  boolean hasLeaderContact(long nowMillis) {
    return nowMillis - leaderContactAtMillis < timing.minElectionTimeoutMillis();
  }

  void advanceTerm(long newTerm) {
    if (newTerm > term) {
      setHardState(newTerm, null);
    }
  }

  /**
   * Starts collecting votes, beginning with the member's own. Unlike a pre-vote, an election starts
   * a new term and records the member's vote for itself.
   */
  void campaign(MemberId self, boolean preVote, long nowMillis) {
    resetTimer(nowMillis);
    votes.clear();
    votes.add(self);
    if (!preVote) {
      setHardState(term + 1, self);
    }
  }

  Set<MemberId> addVote(MemberId voter) {
    votes.add(voter);
    return votes;
  }

  boolean mayVoteFor(MemberId candidate, VoteRequest request) {
    if (request.preVote()) {
      return request.term() > term;
    }
    return request.term() == term && (votedFor == null || votedFor.equals(candidate));
  }

  void voteFor(MemberId candidate, long nowMillis) {
    setHardState(term, candidate);
    resetTimer(nowMillis);
  }

  private void setHardState(long newTerm, MemberId vote) {
    if (newTerm == term && vote != null && vote.equals(votedFor)) {
      return;
    }
    term = newTerm;
    votedFor = vote;
    outbox.record(new HardState(term, votedFor));
  }
}
