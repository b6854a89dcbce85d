package org.plantainknot.core.replica;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.plantainknot.core.replica.LogRecord.HardState;
import org.plantainknot.core.replica.Message.VoteRequest;

/** Term, vote and election timer of a member. */
final class Election {

  private final ReplicaTiming timing;
  private final SplittableRandom random;
  private final Outbox outbox;
  private long term;
  private MemberId votedFor;
  private final Set<MemberId> votes = new HashSet<>();
  private long dueAtMillis;
  private long leaderHeardAtMillis = Long.MIN_VALUE / 2;

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

  boolean isDue(long nowMillis) {
    return nowMillis >= dueAtMillis;
  }

  void resetTimer(long nowMillis) {
    dueAtMillis =
        nowMillis + random.nextLong(timing.electionMinMillis(), timing.electionMaxMillis() + 1);
  }

  void heardLeader(long nowMillis) {
    leaderHeardAtMillis = nowMillis;
    resetTimer(nowMillis);
  }

  boolean isLeaderFresh(long nowMillis) {
    return nowMillis - leaderHeardAtMillis < timing.electionMinMillis();
  }

  void enterTerm(long newTerm) {
    if (newTerm > term) {
      setHardState(newTerm, null);
    }
  }

  /** Starts to collect votes; outside a pre-vote in a new term, with the own vote given. */
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
