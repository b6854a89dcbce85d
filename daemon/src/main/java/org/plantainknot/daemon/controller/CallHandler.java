package org.plantainknot.daemon.controller;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.function.Consumer;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.schedule.WorkerDirectory;
import org.plantainknot.core.schedule.WorkerHeartbeat;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.daemon.settings.ClusterSettings;
import org.plantainknot.wire.member.CallProto;
import org.plantainknot.wire.member.CallReplyProto;
import org.plantainknot.wire.member.FrameProto;
import org.plantainknot.wire.member.WorkerHeartbeatProto;

/**
 * Handles calls that reach this controller over links: handles workers' heartbeats and leave
 * requests itself and passes all others to the request processor. If this controller is not the
 * leader, it answers a call without a reply body.
 *
 * <p>Used by the control thread only.
 */
final class CallHandler {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final JobStateMachine stateMachine;
  private final WorkerDirectory directory;
  private final RequestProcessor requestProcessor;
  private final ClusterSettings settings;
  private final Consumer<FrameProto> broadcaster;

  /**
   * Creates the handler.
   *
   * @param broadcaster sends a frame to all other controllers
   */
  CallHandler(
      JobStateMachine stateMachine,
      WorkerDirectory directory,
      RequestProcessor requestProcessor,
      ClusterSettings settings,
      Consumer<FrameProto> broadcaster) {
    this.stateMachine = stateMachine;
    this.directory = directory;
    this.requestProcessor = requestProcessor;
    this.settings = settings;
    this.broadcaster = broadcaster;
  }

  /** Handles a call; the reply frame is sent immediately or once the reply is available. */
  void handle(CallProto call, Consumer<FrameProto> sender) {
    CallReplyProto.Builder reply = CallReplyProto.newBuilder().setCallId(call.getCallId());
    if (!stateMachine.acceptsRequests()) {
      sender.accept(FrameProto.newBuilder().setCallReply(reply).build());
      return;
    }
    Request request = StateCodec.read(call.getBody().toByteArray(), Request.class);
    handle(
        request,
        result ->
            sender.accept(
                FrameProto.newBuilder()
                    .setCallReply(reply.setBody(ByteString.copyFrom(StateCodec.write(result))))
                    .build()));
  }

  private void handle(Request request, Consumer<Reply> answer) {
    if (request instanceof Request.Heartbeat heartbeat) {
      onHeartbeat(heartbeat.heartbeat());
      answer.accept(new Reply.HeartbeatTaken(settings.controlAddress().orElse("")));
    } else if (request instanceof Request.Leave leave) {
      logger.atInfo().log("worker-left worker=%s", leave.worker());
      directory.recordDeparture(leave.worker(), Clock.nowMillis());
      answer.accept(new Reply.Done());
    } else {
      requestProcessor.process(request, answer);
    }
  }

  /** Handles a heartbeat that the leader has forwarded. */
  void onForwardedHeartbeat(WorkerHeartbeatProto proto) {
    directory.recordHeartbeat(
        StateCodec.read(proto.getBody().toByteArray(), WorkerHeartbeat.class), Clock.nowMillis());
  }

  private void onHeartbeat(WorkerHeartbeat heartbeat) {
    boolean known = directory.find(heartbeat.life().worker()).isPresent();
    directory.recordHeartbeat(heartbeat, Clock.nowMillis());
    if (!known) {
      logger.atInfo().log("worker-seen heartbeat=%s", heartbeat);
    }
    WorkerHeartbeatProto body =
        WorkerHeartbeatProto.newBuilder()
            .setBody(ByteString.copyFrom(StateCodec.write(heartbeat)))
            .build();
    broadcaster.accept(FrameProto.newBuilder().setWorkerHeartbeat(body).build());
  }
}
