package org.plantainknot.core.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.plantainknot.core.replica.Message.Append;
import org.plantainknot.core.replica.Message.AppendReply;
import org.plantainknot.core.replica.Message.InstallSnapshot;
import org.plantainknot.core.replica.Message.VoteReply;
import org.plantainknot.core.replica.Message.VoteRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the reactions of a single member to messages and time. */
public class ReplicaTest {

  private static final ReplicaTiming TIMING = new ReplicaTiming(50, 300, 600);
  private static final MemberId SELF = new MemberId("n1", "i1");
  private static final MemberId PEER = new MemberId("n2", "i2");
  private static final int PIPELINED = 10;

  private Replica replica;
  private long nowMillis;
  private List<Append> appendsAtElection;

  @BeforeMethod(alwaysRun = true)
  void formCluster() {
    nowMillis = 0;
    replica = new Replica(SELF, TIMING, StoredState.EMPTY, 1, nowMillis);
    TreeMap<String, String> voters = new TreeMap<>();
    voters.put("n1", "i1");
    voters.put("n2", "i2");
    voters.put("n3", "i3");
    replica.form(new Membership("test", voters));
    replica.addPeer(PEER);
    sync();
  }

  @Test
  void leaderWithoutMajorityContactStepsDown() {
    elect();
    assertTrue(replica.status().isLeader());
    for (int i = 0; i < 20; i++) {
      advanceTime(50);
    }
    assertFalse(replica.status().isLeader());
    assertTrue(replica.propose(new byte[] {1}).isEmpty());
  }

  @Test
  void leaderThatProcessesRepliesLateStepsDown() {
    elect();
    long round = replica.startRound(nowMillis);
    nowMillis += TIMING.maxElectionTimeoutMillis() + 1;
    replica.receive(PEER, new AppendReply(replica.status().term(), round, true, 0), nowMillis);
    assertFalse(replica.hasConfirmedLeadership(nowMillis));
    advanceTime(0);
    assertFalse(replica.status().isLeader());
  }

  @Test
  void leaderWhoseRoundsAreAnsweredStaysConfirmed() {
    elect();
    for (int i = 0; i < 20; i++) {
      long round = replica.startRound(nowMillis);
      nowMillis += 50;
      replica.receive(PEER, new AppendReply(replica.status().term(), round, true, 0), nowMillis);
      advanceTime(0);
      assertTrue(replica.hasConfirmedLeadership(nowMillis));
    }
  }

  @Test
  void leaderThatMayHaveBeenSuspendedIsConfirmedOnlyByALaterRound() {
    elect();
    long earlierRound = replica.startRound(nowMillis);
    confirm(earlierRound);
    assertTrue(replica.hasConfirmedLeadership(nowMillis));
    drainAppends();
    replica.suspectContact(nowMillis);
    assertFalse(replica.hasConfirmedLeadership(nowMillis), "another leader may act meanwhile");
    confirm(earlierRound);
    assertFalse(replica.hasConfirmedLeadership(nowMillis));
    confirm(drainAppends().get(0).round());
    assertTrue(replica.hasConfirmedLeadership(nowMillis));
  }

  @Test
  void leaderThatMayHaveBeenSuspendedStepsDownIfNobodyAnswers() {
    elect();
    confirm(replica.startRound(nowMillis));
    replica.suspectContact(nowMillis);
    advanceTime(2_000);
    assertFalse(replica.status().isLeader());
  }

  private void confirm(long round) {
    replica.receive(PEER, new AppendReply(replica.status().term(), round, true, 0), nowMillis);
  }

  @Test
  void voteReplyIsSentOnlyAfterSync() {
    replica.receive(PEER, new VoteRequest(1, 1, 0, false, false), nowMillis);
    Ready beforeSync = replica.ready();
    assertEquals(beforeSync.messages().size(), 0);
    replica.synced(beforeSync.syncToken());
    assertEquals(replica.ready().messages().size(), 1);
  }

  @Test
  void voteOfIncarnationOutsideMembershipIsNotCounted() {
    MemberId wiped = new MemberId("n2", "other");
    replica.addPeer(wiped);
    advanceTime(601);
    replica.receive(wiped, new VoteReply(1, true, true), nowMillis);
    replica.receive(wiped, new VoteReply(1, false, true), nowMillis);
    assertFalse(replica.status().isLeader());
  }

  @Test
  void appendsThatFollowALostOneAreRejectedManyTimesAndTheirEntriesResentOnce() {
    elect();
    drainAppends();
    List<Append> sent = new ArrayList<>();
    for (int i = 0; i < PIPELINED; i++) {
      replica.propose(new byte[100]);
      replica.flush(nowMillis);
      sent.addAll(drainAppends());
    }
    assertEquals(sent.size(), PIPELINED);
    List<Append> resent = new ArrayList<>();
    for (Append append : sent.subList(1, PIPELINED)) {
      reject(append.round(), sent.get(0).previousIndex());
      resent.addAll(drainAppends());
    }
    assertEquals(entryCount(resent), PIPELINED);
  }

  @Test
  void aResentAppendThatIsLostTooIsResentAfterTheNextRound() {
    elect();
    drainAppends();
    replica.propose(new byte[100]);
    replica.flush(nowMillis);
    Append lost = drainAppends().get(0);
    long round = replica.startRound(nowMillis);
    reject(round, lost.previousIndex());
    drainAppends();
    long nextRound = replica.startRound(nowMillis);
    reject(nextRound, lost.previousIndex());
    assertEquals(entryCount(drainAppends().subList(1, 2)), 1);
  }

  @Test
  void aSecondLossWithinARoundIsResentAtOnce() {
    elect();
    drainAppends();
    replica.propose(new byte[100]);
    replica.flush(nowMillis);
    Append lost = drainAppends().get(0);
    reject(lost.round(), lost.previousIndex());
    drainAppends();
    long matched = lost.previousIndex() + 1;
    replica.receive(
        PEER, new AppendReply(replica.status().term(), lost.round(), true, matched), nowMillis);
    replica.propose(new byte[100]);
    replica.flush(nowMillis);
    assertEquals(entryCount(drainAppends()), 1);
    reject(lost.round(), matched);
    assertEquals(entryCount(drainAppends()), 1);
  }

  @Test
  void aConflictIsFoundWithinARoundByRejectionsWithEverLowerIndexes() {
    followLeader(PIPELINED);
    elect();
    Append append = appendsAtElection.get(0);
    assertEquals(append.previousIndex(), 2 + PIPELINED);
    for (long index = append.previousIndex() - 1; index > 0; index--) {
      reject(append.round(), index);
      assertEquals(drainAppends().get(0).previousIndex(), index);
    }
  }

  /**
   * Guards against acknowledged entries that are lost, and a member that never catches up again.
   */
  @Test
  void aSnapshotThatComesLateLeavesTheEntriesAfterIt() {
    followLeader(PIPELINED);
    Snapshot late = new Snapshot(5, 1, new Membership("test", new TreeMap<>()), new byte[0]);
    replica.receive(PEER, new InstallSnapshot(1, 1, late), nowMillis);
    assertEquals(replica.status().lastIndex(), 1 + PIPELINED);
    assertEquals(replica.status().commitIndex(), 5);
    Ready ready = replica.ready();
    assertEquals(ready.restored(), null);
    assertEquals(ready.committed().size(), 4);
  }

  private void followLeader(int entries) {
    List<Entry> appended = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      appended.add(Entry.ofCommand(2 + i, 1, new byte[100]));
    }
    replica.receive(PEER, new Append(1, 1, 1, 0, appended, 1), nowMillis);
    sync();
  }

  private void reject(long round, long lastIndex) {
    replica.receive(
        PEER, new AppendReply(replica.status().term(), round, false, lastIndex), nowMillis);
  }

  /** Returns the appends to the peer since the last call. */
  private List<Append> drainAppends() {
    return appends(replica.ready());
  }

  private static List<Append> appends(Ready ready) {
    return ready.messages().stream()
        .filter(envelope -> envelope.message() instanceof Append)
        .map(envelope -> (Append) envelope.message())
        .toList();
  }

  private static int entryCount(List<Append> appends) {
    return appends.stream().mapToInt(append -> append.entries().size()).sum();
  }

  private void elect() {
    long term = replica.status().term() + 1;
    advanceTime(601);
    replica.receive(PEER, new VoteReply(term, true, true), nowMillis);
    sync();
    replica.receive(PEER, new VoteReply(term, false, true), nowMillis);
    Ready ready = replica.ready();
    appendsAtElection = appends(ready);
    replica.synced(ready.syncToken());
  }

  private void advanceTime(long millis) {
    nowMillis += millis;
    replica.tick(nowMillis);
    sync();
  }

  private void sync() {
    replica.synced(replica.ready().syncToken());
  }
}
