package org.plantainknot.daemon.leader;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.wire.member.CallReplyProto;
import org.plantainknot.wire.member.FrameProto;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests calls to a leader that changes, is unknown or doesn't reply. */
public class LeaderClientTest {

  private static final Request REQUEST = new Request.GetJob("h", "/q/ab");

  private final List<String> receivers = new ArrayList<>();
  private final List<FrameProto> frames = new ArrayList<>();
  private LeaderClient client;
  private boolean linked;
  private long nowMillis;

  @BeforeMethod
  void createClient() {
    linked = true;
    receivers.clear();
    frames.clear();
    client = new LeaderClient(this::send, node -> linked);
  }

  @Test
  void aRequestWaitsForTheLeader() {
    CompletableFuture<Reply> reply = call(1_000);
    assertTrue(receivers.isEmpty());
    client.updateLeader(new LeaderView("c1", 1, ""));
    assertEquals(receivers, List.of("c1"));
    answer(new Reply.Waiting(3));
    assertEquals(reply.join(), new Reply.Waiting(3));
  }

  @Test
  void aRequestIsResentToTheNextLeader() {
    client.updateLeader(new LeaderView("c1", 1, ""));
    call(1_000);
    client.updateLeader(new LeaderView("c2", 2, ""));
    assertEquals(receivers, List.of("c1", "c2"));
  }

  @Test
  void aStoppingProcessAnswersUnsentRequestsAsUnavailable() {
    CompletableFuture<Reply> reply = call(10_000);
    client.failAllPending();
    assertTrue(reply.join() instanceof Reply.Unavailable);
  }

  /**
   * Guards against requests that a stopping process takes after its last round and never answers.
   */
  @Test
  void aStoppingProcessRejectsRequestsThatComeAfterItGaveUpTheOthers() {
    client.updateLeader(new LeaderView("c1", 1, ""));
    client.failAllPending();
    CompletableFuture<Reply> reply = call(10_000);
    assertTrue(reply.getNow(null) instanceof Reply.Unavailable);
    assertTrue(receivers.isEmpty(), "the answer says that the request has not run");
  }

  @Test
  void aStoppingProcessAnswersSentRequestsAsOutcomeUnknown() {
    client.updateLeader(new LeaderView("c1", 1, ""));
    CompletableFuture<Reply> reply = call(10_000);
    client.failAllPending();
    assertTrue(reply.join() instanceof Reply.OutcomeUnknown);
  }

  @Test
  void aReplyThatCannotBeDecodedIsAnsweredAsOutcomeUnknown() {
    client.updateLeader(new LeaderView("c1", 1, ""));
    CompletableFuture<Reply> reply = call(10_000);
    long callId = frames.get(0).getCall().getCallId();
    ByteString malformed = ByteString.copyFromUtf8("malformed");
    client.onReply(CallReplyProto.newBuilder().setCallId(callId).setBody(malformed).build());
    assertTrue(reply.join() instanceof Reply.OutcomeUnknown);
  }

  @Test
  void announcementsOfAnEarlierTermAreIgnored() {
    client.updateLeader(new LeaderView("c2", 2, ""));
    client.updateLeader(new LeaderView("c1", 1, ""));
    client.clearLeader("c2", 1);
    assertEquals(client.leader().node(), "c2");
    client.clearLeader("c2", 2);
    assertFalse(client.leader().isKnown());
  }

  @Test
  void aSentRequestWithoutReplyHasAnUnknownOutcome() throws InterruptedException {
    client.updateLeader(new LeaderView("c1", 1, ""));
    CompletableFuture<Reply> reply = call(60);
    Thread.sleep(40);
    client.tick();
    assertEquals(reply.join(), new Reply.OutcomeUnknown());
  }

  @Test
  void aRequestThatReachedOnlyNonLeadersIsAnsweredAsUnavailable() throws InterruptedException {
    client.updateLeader(new LeaderView("c1", 1, ""));
    CompletableFuture<Reply> reply = call(60);
    client.onReply(
        CallReplyProto.newBuilder().setCallId(frames.get(0).getCall().getCallId()).build());
    Thread.sleep(40);
    client.tick();
    assertTrue(reply.join() instanceof Reply.Unavailable);
  }

  @Test
  void aReplyToACallOfAnEarlierProcessIsNotTakenForOneOfThisProcess() {
    client.updateLeader(new LeaderView("c1", 1, ""));
    call(10_000);
    FrameProto callOfTheEarlierProcess = frames.get(0);
    createClient();
    client.updateLeader(new LeaderView("c1", 1, ""));
    CompletableFuture<Reply> reply = call(10_000);
    answer(callOfTheEarlierProcess, new Reply.Done());
    assertFalse(reply.isDone());
  }

  /** The leader's VM has lost power, so no node has announced that it no longer leads. */
  @Test
  void aRequestLongAfterTheLeaderBecameUnreachableIsRejectedAtOnce() throws InterruptedException {
    client.updateLeader(new LeaderView("c1", 1, ""));
    client.tick();
    linked = false;
    client.tick();
    CompletableFuture<Reply> early = call(3_000);
    assertFalse(early.isDone(), "a new leader may be elected soon");
    Thread.sleep(1_600);
    client.tick();
    assertTrue(early.getNow(null) instanceof Reply.Unavailable);
    assertTrue(call(3_000).isDone());
    linked = true;
    assertFalse(call(3_000).isDone(), "the leader is reachable again");
  }

  @Test
  void aRequestToASlowLeaderIsResentLessAndLessOften() {
    useFakeClock();
    client.updateLeader(new LeaderView("c1", 1, ""));
    call(10_000);
    assertEquals(copiesAfter(499), 1);
    assertEquals(copiesAfter(1), 2);
    assertEquals(copiesAfter(999), 2);
    assertEquals(copiesAfter(1), 3);
    assertEquals(copiesAfter(999), 3);
    assertEquals(copiesAfter(1), 4, "a copy more within a caller's 3 s");
  }

  @Test
  void theNextLeaderGetsARequestAtOnceAndItsSecondCopySoon() {
    useFakeClock();
    client.updateLeader(new LeaderView("c1", 1, ""));
    call(10_000);
    copiesAfter(500);
    copiesAfter(1_000);
    client.updateLeader(new LeaderView("c1", 2, ""));
    assertEquals(receivers.size(), 4);
    assertEquals(copiesAfter(500), 5);
  }

  @Test
  void aRequestIsResentAtOnceWhenTheLinkToTheLeaderIsUpAgain() {
    useFakeClock();
    client.updateLeader(new LeaderView("c1", 1, ""));
    CompletableFuture<Reply> reply = call(10_000);
    client.onLinked("c2");
    assertEquals(receivers.size(), 1, "the link to another node");
    client.onLinked("c1");
    assertEquals(receivers.size(), 2);
    client.failAllPending();
    assertEquals(reply.join(), new Reply.OutcomeUnknown(), "the first copy may have arrived");
  }

  @Test
  void aRequestThatReachedANonLeaderIsResentAtOnce() {
    useFakeClock();
    client.updateLeader(new LeaderView("c1", 1, ""));
    call(10_000);
    client.onReply(
        CallReplyProto.newBuilder().setCallId(frames.get(0).getCall().getCallId()).build());
    assertEquals(copiesAfter(1), 2);
  }

  private void useFakeClock() {
    nowMillis = 10_000;
    client = new LeaderClient(this::send, node -> linked, () -> nowMillis);
  }

  private int copiesAfter(long millis) {
    nowMillis += millis;
    client.tick();
    return receivers.size();
  }

  private boolean send(String node, FrameProto frame) {
    if (linked) {
      receivers.add(node);
      frames.add(frame);
    }
    return linked;
  }

  private CompletableFuture<Reply> call(long timeoutMillis) {
    return client.handle(REQUEST, timeoutMillis).toCompletableFuture();
  }

  private void answer(Reply reply) {
    answer(frames.get(frames.size() - 1), reply);
  }

  private void answer(FrameProto call, Reply reply) {
    long id = call.getCall().getCallId();
    client.onReply(
        CallReplyProto.newBuilder()
            .setCallId(id)
            .setBody(ByteString.copyFrom(StateCodec.write(reply)))
            .build());
  }
}
