package org.plantainknot.core.replica;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainknot.core.replica.Message.Append;
import org.plantainknot.core.replica.Message.AppendReply;
import org.plantainknot.core.replica.Message.InstallSnapshot;
import org.plantainknot.core.replica.Message.TransferLeadership;
import org.plantainknot.core.replica.Message.VoteReply;
import org.plantainknot.core.replica.Message.VoteRequest;

/**
 * Member of the replicated log, implemented as a deterministic state machine without I/O.
 *
 * <p>Votes and acknowledgements are sent only after everything recorded before them has been synced
 * (Ongaro, section 3.8). A leader sends entries concurrently with its own sync, and counts itself
 * towards the quorum once that sync completes (section 10.2.1). Members outside the membership
 * follow as learners. Not thread-safe.
 */
public final class Replica {

  private final MemberId self;
  private final ReplicaTiming timing;
  private final Outbox outbox = new Outbox();
  private final ReplicaLog log;
  private final Appender appender;
  private final Election election;
  private final Map<String, MemberId> peers = new LinkedHashMap<>();

  private Role role = Role.FOLLOWER;
  private MemberId leader;
  private long commitIndex;
  private Leadership leadership;

  /** Creates a member from its stored state. */
  public Replica(
      MemberId self, ReplicaTiming timing, StoredState stored, long seed, long nowMillis) {
    this.self = self;
    this.timing = timing;
    this.log = new ReplicaLog(stored.snapshot(), stored.entries(), outbox);
    this.appender = new Appender(log, outbox, timing);
    this.election = new Election(timing, stored.hardState(), outbox, seed, nowMillis);
    this.commitIndex = stored.snapshot().lastIndex();
  }

  /**
   * Forms a new cluster; must be called with the same membership on each of its voters.
   *
   * @throws IllegalStateException if this member has a term or entries, or isn't an initial voter
   */
  public void form(Membership initial) {
    if (election.term() != 0 || log.lastIndex() != 0 || !initial.isVoter(self)) {
      throw new IllegalStateException("only an empty initial voter can form a cluster");
    }
    appendEntry(Entry.ofMembership(1, 0, initial));
  }

  /** Adds a reachable member, which replaces an earlier incarnation of its node. */
  public void addPeer(MemberId peer) {
    if (peer.node().equals(self.node()) || peer.equals(peers.put(peer.node(), peer))) {
      return;
    }
    if (leadership != null) {
      leadership.retainMembers(peers.values());
    }
  }

  /** Runs the timers: sends heartbeats, steps down or starts an election if one is due. */
  public void tick(long nowMillis) {
    if (role == Role.LEADER) {
      tickLeader(nowMillis);
    } else if (isVoter() && election.isTimedOut(nowMillis)) {
      campaign(true, false, nowMillis);
    }
  }

  /** Handles a message; messages from unknown or replaced incarnations are ignored. */
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
    } else if (message instanceof TransferLeadership transfer) {
      onTransferLeadership(sender, transfer, nowMillis);
    }
  }

  /** Records that all writes up to the token of an earlier {@link Ready} are on disk. */
  public void synced(long token) {
    outbox.synced(token);
    if (leadership != null) {
      leadership.synced(token);
      advanceCommit();
    }
  }

  /** Appends a command and returns its index, or empty if this member isn't the leader. */
  public Optional<Long> propose(byte[] command) {
    if (role != Role.LEADER) {
      return Optional.empty();
    }
    Entry entry = Entry.ofCommand(log.lastIndex() + 1, election.term(), command);
    appendEntry(entry);
    return Optional.of(entry.index());
  }

  /**
   * Starts to add or remove one voter; returns the entry's index, or empty if not possible now.
   *
   * <p>A member is added only after it has caught up with the commit index (Ongaro, section 4.2.1).
   */
  public Optional<Long> changeMembership(Membership changed) {
    if (role != Role.LEADER
        || !leadership.mayChangeMembership(log, commitIndex, election.term(), changed)) {
      return Optional.empty();
    }
    Entry entry = Entry.ofMembership(log.lastIndex() + 1, election.term(), changed);
    appendEntry(entry);
    return Optional.of(entry.index());
  }

  /** Returns when a member last replied to this leader, or the election time if that is later. */
  public long lastReplyAtMillis(MemberId member) {
    return leadership.lastReplyAtMillis(member);
  }

  /** Sends new entries to all members; called once per batch of proposals. */
  public void flush(long nowMillis) {
    if (role == Role.LEADER) {
      peers.values().forEach(peer -> sendAppend(peer, leadership.round(), false, nowMillis));
      advanceCommit();
    }
  }

  /** Starts a heartbeat round and returns its number, or 0 if this member isn't the leader. */
  public long startRound(long nowMillis) {
    if (role != Role.LEADER) {
      return 0;
    }
    long round = leadership.startRound(nowMillis);
    peers.values().forEach(peer -> sendAppend(peer, round, true, nowMillis));
    return round;
  }

  /** Returns the last heartbeat round of this term that a majority has answered, or 0. */
  public long confirmedRound() {
    return role == Role.LEADER ? leadership.confirmedRound(membership()) : 0;
  }

  /** Asks the known voter with the highest match index to take over leadership. */
  public void transferLeadership() {
    if (role != Role.LEADER) {
      return;
    }
    peers.values().stream()
        .filter(membership()::isVoter)
        .max(Comparator.comparingLong(leadership::matchIndexOf))
        .ifPresent(successor -> outbox.send(successor, new TransferLeadership(election.term())));
  }

  /** Replaces the applied entries up to the index with a snapshot of the host's state. */
  public Snapshot compact(long index, byte[] data) {
    if (index > commitIndex || !log.contains(index)) {
      throw new IllegalArgumentException("no committed entry " + index + " to compact");
    }
    return log.compact(index, data);
  }

  /** Returns the work for the host that has accumulated since the last call. */
  public Ready ready() {
    return outbox.drain();
  }

  /** Returns the size of the log and of the snapshot that precedes it. */
  public LogSize logSize() {
    return log.size();
  }

  /** Returns the entries after the snapshot. */
  public List<Entry> entries() {
    return log.from(log.snapshot().lastIndex() + 1, Integer.MAX_VALUE);
  }

  /**
   * Returns whether this member leads and a majority confirmed it within the longest election
   * timeout, so that no other leader can have been elected long ago. A leader whose thread is
   * delayed may not know yet that it was replaced.
   */
  public boolean hasConfirmedLeadership(long nowMillis) {
    return role == Role.LEADER
        && !leadership.isContactSuspect(membership())
        && hasQuorumContact(nowMillis);
  }

  /**
   * Handles that this process may have been suspended for a time that its monotonic clock doesn't
   * count. A leader asks its majority anew, and counts as unconfirmed until that has answered.
   */
  public void suspectContact(long nowMillis) {
    if (role == Role.LEADER) {
      leadership.suspectContact();
      startRound(nowMillis);
    }
  }

  /** Returns the current status of this member, for reporting. */
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

  private boolean hasQuorumContact(long nowMillis) {
    return leadership.hasQuorumContact(membership(), nowMillis, timing.maxElectionTimeoutMillis());
  }

  private void tickLeader(long nowMillis) {
    if (!hasQuorumContact(nowMillis)) {
      becomeFollower(election.term(), null, nowMillis);
    } else if (leadership.isHeartbeatDue(nowMillis, timing.heartbeatMillis())) {
      startRound(nowMillis);
    }
  }

  private void campaign(boolean preVote, boolean leadershipTransfer, long nowMillis) {
    leader = null;
    role = preVote ? Role.PRE_CANDIDATE : Role.CANDIDATE;
    election.campaign(self, preVote, nowMillis);
    long campaignTerm = preVote ? election.term() + 1 : election.term();
    VoteRequest request =
        new VoteRequest(campaignTerm, log.lastIndex(), log.lastTerm(), preVote, leadershipTransfer);
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
   * Votes even if this member's own membership, which may be older than the candidate's, doesn't
   * list it as a voter. The candidate counts only votes of incarnations in its membership.
   */
  private void onVoteRequest(MemberId sender, VoteRequest request, long nowMillis) {
    if (ignoresVoteRequest(request, nowMillis)) {
      return;
    }
    if (!request.preVote() && request.term() > election.term()) {
      becomeFollower(request.term(), null, nowMillis);
    }
    boolean granted =
        log.isUpToDate(request.lastIndex(), request.lastTerm())
            && election.mayVoteFor(sender, request);
    if (granted && !request.preVote()) {
      election.voteFor(sender, nowMillis);
    }
    long replyTerm = granted ? request.term() : election.term();
    outbox.sendAfterSync(sender, new VoteReply(replyTerm, request.preVote(), granted));
  }

  /** Returns whether a recent leader contact rules out the vote (Ongaro, section 4.2.3). */
  private boolean ignoresVoteRequest(VoteRequest request, long nowMillis) {
    return !request.leadershipTransfer()
        && (role == Role.LEADER || election.hasLeaderContact(nowMillis));
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
    boolean compacted = previous < log.snapshot().lastIndex();
    if (!compacted && log.termAt(previous) != append.previousTerm()) {
      long hint = Math.min(log.lastIndex(), previous - 1);
      outbox.sendAfterSync(sender, new AppendReply(election.term(), append.round(), false, hint));
      return;
    }
    append.entries().forEach(entry -> log.merge(entry, commitIndex));
    long matched = previous + append.entries().size();
    commitUpTo(Math.min(append.commitIndex(), matched));
    outbox.sendAfterSync(sender, new AppendReply(election.term(), append.round(), true, matched));
  }

  /**
   * Installs a snapshot unless the log holds its last entry. Entries after that one may have been
   * acknowledged, so they must stay (Ongaro, section 5.3).
   */
  private void onInstallSnapshot(MemberId sender, InstallSnapshot install, long nowMillis) {
    if (!acceptLeader(sender, install.term(), install.round(), nowMillis)) {
      return;
    }
    Snapshot snapshot = install.snapshot();
    if (log.termAt(snapshot.lastIndex()) == snapshot.lastTerm()) {
      commitUpTo(snapshot.lastIndex());
    } else if (snapshot.lastIndex() > commitIndex) {
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
    election.recordLeaderContact(nowMillis);
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
    progress.recordReply(reply.round(), nowMillis);
    if (reply.success()) {
      progress.recordMatch(reply.matchIndex());
      advanceCommit();
    } else {
      progress.recordRejection(reply.matchIndex(), reply.round(), leadership.round());
    }
    sendAppend(sender, leadership.round(), false, nowMillis);
  }

  private void onTransferLeadership(MemberId sender, TransferLeadership transfer, long nowMillis) {
    if (transfer.term() == election.term() && sender.equals(leader) && isVoter()) {
      campaign(false, true, nowMillis);
    }
  }

  private void becomeFollower(long newTerm, MemberId newLeader, long nowMillis) {
    election.advanceTerm(newTerm);
    role = Role.FOLLOWER;
    leader = newLeader;
    leadership = null;
    election.resetTimer(nowMillis);
  }

  private void becomeLeader(long nowMillis) {
    role = Role.LEADER;
    leader = self;
    leadership = new Leadership(self, 0, nowMillis);
    leadership.recordAppend(outbox.writtenToken(), log.lastIndex());
    appendEntry(Entry.noOp(log.lastIndex() + 1, election.term()));
    startRound(nowMillis);
    advanceCommit();
  }

  private void appendEntry(Entry entry) {
    log.append(entry);
    if (leadership != null) {
      leadership.recordAppend(outbox.writtenToken(), entry.index());
    }
  }

  private void sendAppend(MemberId peer, long round, boolean sendIfEmpty, long nowMillis) {
    Progress progress = leadership.progress(peer, log.lastIndex() + 1);
    Appender.Header header = new Appender.Header(election.term(), round, commitIndex);
    appender.send(peer, progress, header, sendIfEmpty, nowMillis);
  }

  /** Commits only entries of the current term by counting replicas (Ongaro, section 3.6.2). */
  private void advanceCommit() {
    if (leadership == null) {
      return;
    }
    long quorumIndex = leadership.quorumIndex(membership());
    if (quorumIndex > commitIndex && log.termAt(quorumIndex) == election.term()) {
      commitUpTo(quorumIndex);
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

  private boolean isVoter() {
    return membership() != null && membership().isVoter(self);
  }

  private Membership membership() {
    return log.membership();
  }
}
