package org.plantainknot.core.replica;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainknot.core.replica.Message.Append;
import org.plantainknot.core.replica.Message.AppendReply;
import org.plantainknot.core.replica.Message.HandOver;
import org.plantainknot.core.replica.Message.InstallSnapshot;
import org.plantainknot.core.replica.Message.VoteReply;
import org.plantainknot.core.replica.Message.VoteRequest;

/**
 * One member of the replicated log, as a step function.
 *
 * <p>Votes and acknowledgements are released only after the sync of everything recorded before them
 * (Ongaro, section 3.8). A leader sends entries beside its own sync and counts itself once that is
 * done (section 10.2.1). Members that the membership doesn't name follow as learners. Not
 * thread-safe.
 */
public final class Replica {

  private static final int MAX_APPEND_BYTES = 1 << 20;

  private final MemberId self;
  private final ReplicaTiming timing;
  private final Outbox outbox = new Outbox();
  private final ReplicaLog log;
  private final Election election;
  private final Map<String, MemberId> peers = new LinkedHashMap<>();

  private Role role = Role.FOLLOWER;
  private MemberId leader;
  private long commitIndex;
  private Leadership leadership;

  /** Restores a member from its disk. */
  public Replica(
      MemberId self, ReplicaTiming timing, StoredState stored, long seed, long nowMillis) {
    this.self = self;
    this.timing = timing;
    this.log = new ReplicaLog(stored.snapshot(), stored.entries(), outbox);
    this.election = new Election(timing, stored.hardState(), outbox, seed, nowMillis);
    this.commitIndex = stored.snapshot().lastIndex();
  }

  /**
   * Forms a new cluster with an empty log; each voter named has to do the same.
   *
   * @throws IllegalStateException if the log isn't empty or the membership doesn't name this member
   */
  public void form(Membership initial) {
    if (election.term() != 0 || log.lastIndex() != 0 || !initial.isVoter(self)) {
      throw new IllegalStateException("only an empty voter that the membership names can form");
    }
    appendEntry(Entry.ofMembership(1, 0, initial));
  }

  /** Notes a member that can be reached; an earlier incarnation of its node is forgotten. */
  public void peerSeen(MemberId peer) {
    if (peer.node().equals(self.node()) || peer.equals(peers.put(peer.node(), peer))) {
      return;
    }
    if (leadership != null) {
      leadership.retain(peers.values());
    }
  }

  /** Lets time pass. */
  public void tick(long nowMillis) {
    if (role == Role.LEADER) {
      tickLeader(nowMillis);
    } else if (isVoter() && election.isDue(nowMillis)) {
      campaign(true, false, nowMillis);
    }
  }

  /** Handles a message from a member. */
  public void receive(MemberId sender, Message message, long nowMillis) {
    if (!sender.equals(peers.get(sender.node()))) {
      return;
    }
    if (message instanceof VoteRequest request) {
      onVoteRequest(sender, request, nowMillis);
    } else if (message instanceof VoteReply reply) {
      onVoteReply(sender, reply, nowMillis);
    } else if (message instanceof Append append) {
      onAppend(sender, append, nowMillis);
    } else if (message instanceof InstallSnapshot install) {
      onInstallSnapshot(sender, install, nowMillis);
    } else if (message instanceof AppendReply reply) {
      onAppendReply(sender, reply, nowMillis);
    } else if (message instanceof HandOver handOver) {
      onHandOver(sender, handOver, nowMillis);
    }
  }

  /** Notes that everything up to the token of an earlier {@link Ready} is on disk. */
  public void synced(long token) {
    outbox.synced(token);
    if (leadership != null) {
      leadership.synced(token);
      advanceCommit();
    }
  }

  /** Adds a command to the log and returns its index, or empty if this member doesn't lead. */
  public Optional<Long> propose(byte[] command) {
    if (role != Role.LEADER) {
      return Optional.empty();
    }
    Entry entry = Entry.ofCommand(log.lastIndex() + 1, election.term(), command);
    appendEntry(entry);
    return Optional.of(entry.index());
  }

  /**
   * Starts a change of one voter, or returns empty if it can't be made now.
   *
   * <p>A member is added only when it holds everything that is committed (Ongaro, section 4.2.1).
   */
  public Optional<Long> changeMembership(Membership changed) {
    if (role != Role.LEADER || !canChangeMembership(changed)) {
      return Optional.empty();
    }
    Entry entry = Entry.ofMembership(log.lastIndex() + 1, election.term(), changed);
    appendEntry(entry);
    return Optional.of(entry.index());
  }

  /** Returns when a member answered this leader last, or when this member began to lead. */
  public long heardAtMillis(MemberId member) {
    return leadership.heardAtMillis(member);
  }

  /** Sends new entries to all members; called once for a batch of proposals. */
  public void flush(long nowMillis) {
    if (role == Role.LEADER) {
      peers.values().forEach(peer -> sendAppend(peer, leadership.round(), false, nowMillis));
      advanceCommit();
    }
  }

  /** Starts a heartbeat round and returns its number, or 0 if this member doesn't lead. */
  public long startRound(long nowMillis) {
    if (role != Role.LEADER) {
      return 0;
    }
    long round = leadership.startRound(nowMillis);
    peers.values().forEach(peer -> sendAppend(peer, round, true, nowMillis));
    return round;
  }

  /** Returns the last heartbeat round that a majority answered in this term, or 0. */
  public long confirmedRound() {
    return role == Role.LEADER ? leadership.confirmedRound(membership()) : 0;
  }

  /** Asks the voter that is furthest along to take over. */
  public void handOver() {
    if (role != Role.LEADER) {
      return;
    }
    peers.values().stream()
        .filter(membership()::isVoter)
        .max(Comparator.comparingLong(leadership::matchIndexOf))
        .ifPresent(successor -> outbox.send(successor, new HandOver(election.term())));
  }

  /** Replaces the applied entries up to the index by a snapshot of the host's state. */
  public Snapshot compact(long index, byte[] data) {
    if (index > commitIndex || !log.contains(index)) {
      throw new IllegalArgumentException("no committed entry " + index + " to compact");
    }
    return log.compact(index, data);
  }

  /** Returns what the host has to do since the last call. */
  public Ready ready() {
    return outbox.drain();
  }

  /** Returns the number of entries after the snapshot. */
  public int logSize() {
    return log.size();
  }

  /** Returns the entries after the snapshot. */
  public List<Entry> entries() {
    return log.from(log.snapshot().lastIndex() + 1, Integer.MAX_VALUE);
  }

  /**
   * Returns whether this member leads and a majority has confirmed so lately that no other can have
   * been elected long ago. A leader whose thread lags behind may not know yet that it was replaced.
   */
  public boolean leadsSurely(long nowMillis) {
    return role == Role.LEADER
        && leadership.hasQuorumContact(membership(), nowMillis, timing.electionMaxMillis());
  }

  /** Returns a view of the member for reports. */
  public ReplicaStatus status() {
    return new ReplicaStatus(
        self,
        role,
        election.term(),
        election.votedFor(),
        leader,
        membership(),
        commitIndex,
        log.lastIndex());
  }

  private void tickLeader(long nowMillis) {
    if (!leadsSurely(nowMillis)) {
      becomeFollower(election.term(), null, nowMillis);
    } else if (leadership.isHeartbeatDue(nowMillis, timing.heartbeatMillis())) {
      startRound(nowMillis);
    }
  }

  private void campaign(boolean preVote, boolean handOver, long nowMillis) {
    leader = null;
    role = preVote ? Role.PRE_CANDIDATE : Role.CANDIDATE;
    election.campaign(self, preVote, nowMillis);
    long asked = preVote ? election.term() + 1 : election.term();
    VoteRequest request =
        new VoteRequest(asked, log.lastIndex(), log.lastTerm(), preVote, handOver);
    peers.values().stream()
        .filter(membership()::isVoter)
        .forEach(voter -> outbox.sendAfterSync(voter, request));
    countVote(self, nowMillis);
  }

  private void countVote(MemberId voter, long nowMillis) {
    if (!membership().hasQuorum(election.addVote(voter))) {
      return;
    }
    if (role == Role.PRE_CANDIDATE) {
      campaign(false, false, nowMillis);
    } else if (role == Role.CANDIDATE) {
      becomeLeader(nowMillis);
    }
  }

  /**
   * Votes without regard to the own membership, which may be older than the candidate's: the
   * candidate counts the vote only if its membership names this very incarnation.
   */
  private void onVoteRequest(MemberId sender, VoteRequest request, long nowMillis) {
    if (isLeaderFresh(request, nowMillis)) {
      return;
    }
    if (!request.preVote() && request.term() > election.term()) {
      becomeFollower(request.term(), null, nowMillis);
    }
    boolean granted =
        log.isCoveredBy(request.lastIndex(), request.lastTerm())
            && election.mayVoteFor(sender, request);
    if (granted && !request.preVote()) {
      election.voteFor(sender, nowMillis);
    }
    long replyTerm = granted ? request.term() : election.term();
    outbox.sendAfterSync(sender, new VoteReply(replyTerm, request.preVote(), granted));
  }

  /** A voter that hears a leader ignores candidates (Ongaro, section 4.2.3). */
  private boolean isLeaderFresh(VoteRequest request, long nowMillis) {
    return !request.handOver() && (role == Role.LEADER || election.isLeaderFresh(nowMillis));
  }

  private void onVoteReply(MemberId sender, VoteReply reply, long nowMillis) {
    if (!reply.granted()) {
      if (reply.term() > election.term()) {
        becomeFollower(reply.term(), null, nowMillis);
      }
      return;
    }
    boolean answersPreVote = role == Role.PRE_CANDIDATE && reply.term() == election.term() + 1;
    boolean answersVote = role == Role.CANDIDATE && reply.term() == election.term();
    if (reply.preVote() ? answersPreVote : answersVote) {
      countVote(sender, nowMillis);
    }
  }

  private void onAppend(MemberId sender, Append append, long nowMillis) {
    if (!acceptLeader(sender, append.term(), append.round(), nowMillis)) {
      return;
    }
    long previous = append.previousIndex();
    boolean covered = previous < log.snapshot().lastIndex();
    if (!covered && log.termAt(previous) != append.previousTerm()) {
      long hint = Math.min(log.lastIndex(), previous - 1);
      outbox.sendAfterSync(sender, new AppendReply(election.term(), append.round(), false, hint));
      return;
    }
    append.entries().forEach(entry -> log.merge(entry, commitIndex));
    long matched = previous + append.entries().size();
    commitUpTo(Math.min(append.commitIndex(), matched));
    outbox.sendAfterSync(sender, new AppendReply(election.term(), append.round(), true, matched));
  }

  private void onInstallSnapshot(MemberId sender, InstallSnapshot install, long nowMillis) {
    if (!acceptLeader(sender, install.term(), install.round(), nowMillis)) {
      return;
    }
    Snapshot snapshot = install.snapshot();
    if (snapshot.lastIndex() > commitIndex) {
      log.install(snapshot);
      commitIndex = snapshot.lastIndex();
      outbox.restore(snapshot);
    }
    outbox.sendAfterSync(
        sender, new AppendReply(election.term(), install.round(), true, snapshot.lastIndex()));
  }

  private boolean acceptLeader(MemberId sender, long leaderTerm, long round, long nowMillis) {
    if (leaderTerm < election.term()) {
      outbox.sendAfterSync(sender, new AppendReply(election.term(), round, false, log.lastIndex()));
      return false;
    }
    if (leaderTerm > election.term() || role != Role.FOLLOWER || !sender.equals(leader)) {
      becomeFollower(leaderTerm, sender, nowMillis);
    }
    election.heardLeader(nowMillis);
    return true;
  }

  private void onAppendReply(MemberId sender, AppendReply reply, long nowMillis) {
    if (reply.term() > election.term()) {
      becomeFollower(reply.term(), null, nowMillis);
    }
    if (role != Role.LEADER || reply.term() != election.term()) {
      return;
    }
    Progress progress = leadership.progress(sender, log.lastIndex() + 1);
    progress.heard(reply.round(), nowMillis);
    if (reply.success()) {
      progress.matched(reply.matchIndex());
      advanceCommit();
    } else {
      progress.rejected(reply.matchIndex());
    }
    sendAppend(sender, leadership.round(), false, nowMillis);
  }

  private void onHandOver(MemberId sender, HandOver handOver, long nowMillis) {
    if (handOver.term() == election.term() && sender.equals(leader) && isVoter()) {
      campaign(false, true, nowMillis);
    }
  }

  private void becomeFollower(long newTerm, MemberId newLeader, long nowMillis) {
    election.enterTerm(newTerm);
    role = Role.FOLLOWER;
    leader = newLeader;
    leadership = null;
    election.resetTimer(nowMillis);
  }

  private void becomeLeader(long nowMillis) {
    role = Role.LEADER;
    leader = self;
    leadership = new Leadership(self, 0, nowMillis);
    leadership.appended(outbox.writtenToken(), log.lastIndex());
    appendEntry(Entry.noOp(log.lastIndex() + 1, election.term()));
    startRound(nowMillis);
    advanceCommit();
  }

  private void appendEntry(Entry entry) {
    log.append(entry);
    if (leadership != null) {
      leadership.appended(outbox.writtenToken(), entry.index());
    }
  }

  private void sendAppend(MemberId peer, long round, boolean evenIfEmpty, long nowMillis) {
    Progress progress = leadership.progress(peer, log.lastIndex() + 1);
    long previous = progress.nextIndex() - 1;
    if (previous < log.snapshot().lastIndex()) {
      sendSnapshot(peer, progress, round, nowMillis);
      return;
    }
    List<Entry> entries = log.from(progress.nextIndex(), MAX_APPEND_BYTES);
    if (entries.isEmpty() && !evenIfEmpty) {
      return;
    }
    progress.sentUpTo(previous + entries.size());
    outbox.send(
        peer,
        new Append(election.term(), round, previous, log.termAt(previous), entries, commitIndex));
  }

  private void sendSnapshot(MemberId peer, Progress progress, long round, long nowMillis) {
    if (nowMillis - progress.snapshotSentAtMillis() < timing.electionMinMillis()) {
      return;
    }
    progress.sentSnapshot(log.snapshot().lastIndex(), nowMillis);
    outbox.send(peer, new InstallSnapshot(election.term(), round, log.snapshot()));
  }

  /** Only entries of the own term are committed by counting (Ongaro, section 3.6.2). */
  private void advanceCommit() {
    if (leadership == null) {
      return;
    }
    long reached = leadership.quorumIndex(membership());
    if (reached > commitIndex && log.termAt(reached) == election.term()) {
      commitUpTo(reached);
    }
  }

  private void commitUpTo(long index) {
    if (index <= commitIndex) {
      return;
    }
    outbox.commit(log.between(commitIndex + 1, index));
    commitIndex = index;
    if (role == Role.LEADER && !membership().isVoter(self) && log.lastIndex() == commitIndex) {
      role = Role.FOLLOWER;
      leadership = null;
      leader = null;
    }
  }

  private boolean canChangeMembership(Membership changed) {
    boolean settled =
        log.termAt(commitIndex) == election.term()
            && membership().equals(log.membershipAt(commitIndex));
    return settled
        && leadership.newVotersHold(commitIndex, membership(), changed)
        && !changed.voters().isEmpty()
        && changed.isOneStepFrom(membership());
  }

  private boolean isVoter() {
    return membership() != null && membership().isVoter(self);
  }

  private Membership membership() {
    return log.membership();
  }
}
