package org.plantainknot.daemon.controller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.schedule.WorkerDirectory;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.daemon.metrics.DecisionMetrics;
import org.plantainknot.wire.member.CallProto;
import org.plantainknot.wire.member.FrameProto;
import org.plantainknot.wire.member.WorkerHeartbeatProto;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that bodies which can't be decoded don't end the process: an exception on the control
 * thread halts it, and the sender would then send the same frame to the next leader.
 */
public class MalformedFrameTest {

  private static final ByteString MALFORMED = ByteString.copyFromUtf8("malformed");

  private final List<FrameProto> sent = new ArrayList<>();
  private WorkerDirectory directory;
  private CallHandler handler;

  @BeforeMethod
  void createHandler() {
    sent.clear();
    directory = new WorkerDirectory();
    RequestProcessor processor =
        new RequestProcessor(
            new JobLedger(), command -> 1, new DecisionMetrics(new MetricRegistry()));
    handler = new CallHandler(() -> true, directory, processor, service -> true, "", frame -> {});
  }

  @Test
  void aCallThatCannotBeDecodedIsAnsweredAsInvalid() {
    handler.handle(CallProto.newBuilder().setCallId(7).setBody(MALFORMED).build(), sent::add);
    assertEquals(sent.size(), 1);
    assertEquals(sent.get(0).getCallReply().getCallId(), 7);
    byte[] body = sent.get(0).getCallReply().getBody().toByteArray();
    assertTrue(StateCodec.read(body, Reply.class) instanceof Reply.Invalid);
  }

  @Test
  void aCallOfAnUnknownTypeIsAnsweredAsInvalid() {
    ByteString laterType = ByteString.copyFrom(StateCodec.write(new int[] {1}));
    handler.handle(CallProto.newBuilder().setCallId(8).setBody(laterType).build(), sent::add);
    byte[] body = sent.get(0).getCallReply().getBody().toByteArray();
    assertTrue(StateCodec.read(body, Reply.class) instanceof Reply.Invalid);
  }

  @Test
  void aForwardedHeartbeatThatCannotBeDecodedIsIgnored() {
    handler.onForwardedHeartbeat(WorkerHeartbeatProto.newBuilder().setBody(MALFORMED).build());
    assertEquals(directory.all().size(), 0);
  }
}
