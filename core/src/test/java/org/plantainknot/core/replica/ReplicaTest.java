package org.plantainknot.core.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.TreeMap;
import org.plantainknot.core.replica.Message.AppendReply;
import org.plantainknot.core.replica.Message.VoteReply;
import org.plantainknot.core.replica.Message.VoteRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the reactions of a single member to messages and time. */
public class ReplicaTest {

  private static final ReplicaTiming TIMING = new ReplicaTiming(50, 300, 600);
  private static final MemberId SELF = new MemberId("n1", "i1");
  private static final MemberId PEER = new MemberId("n2", "i2");

  private Replica replica;
  private long nowMillis;

  @BeforeMethod
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

  private void elect() {
    advanceTime(601);
    replica.receive(PEER, new VoteReply(1, true, true), nowMillis);
    sync();
    replica.receive(PEER, new VoteReply(1, false, true), nowMillis);
    sync();
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
