package org.plantainknot.daemon.controller;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.core.schedule.HeartbeatFilter;
import org.plantainknot.core.schedule.WorkerDirectory;
import org.plantainknot.core.schedule.WorkerHeartbeat;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.daemon.control.StateCodec;
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

  /** Minimum interval of the log lines on heartbeats that are ignored. */
  private static final int LOG_INTERVAL_SECONDS = 10;

  private final BooleanSupplier acceptsRequests;
  private final WorkerDirectory directory;
  private final RequestProcessor requestProcessor;
  private final Predicate<String> serviceKnown;
  private final String heartbeatAddress;
  private final Consumer<FrameProto> broadcaster;
  private final HeartbeatFilter heartbeatFilter = new HeartbeatFilter();

  /**
   * Creates the handler.
   *
   * @param acceptsRequests returns whether this member serves as leader and accepts requests
   * @param serviceKnown tests whether a service may have workers
   * @param heartbeatAddress address at which this member receives heartbeats, or an empty string
   * @param broadcaster sends a frame to all other controllers
   */
  CallHandler(
      BooleanSupplier acceptsRequests,
      WorkerDirectory directory,
      RequestProcessor requestProcessor,
      Predicate<String> serviceKnown,
      String heartbeatAddress,
      Consumer<FrameProto> broadcaster) {
    this.acceptsRequests = acceptsRequests;
    this.directory = directory;
    this.requestProcessor = requestProcessor;
    this.serviceKnown = serviceKnown;
    this.heartbeatAddress = heartbeatAddress;
    this.broadcaster = broadcaster;
  }

  /** Handles that a controller is linked, which may have started or missed heartbeats. */
  void onControllerLinked() {
    heartbeatFilter.reset();
  }

  /** Does the periodic work; called at intervals of at most some seconds. */
  void tick(long nowMillis) {
    heartbeatFilter.removeExpired(nowMillis);
  }

  /**
   * Handles a call; the reply frame is sent immediately or once the reply is available. A call that
   * can't be decoded, as from a process of another build, is answered as invalid.
   */
  void handle(CallProto call, Consumer<FrameProto> sender) {
    CallReplyProto.Builder reply = CallReplyProto.newBuilder().setCallId(call.getCallId());
    if (!acceptsRequests.getAsBoolean()) {
      sender.accept(FrameProto.newBuilder().setCallReply(reply).build());
      return;
    }
    Consumer<Reply> answer =
        result ->
            sender.accept(
                FrameProto.newBuilder()
                    .setCallReply(reply.setBody(ByteString.copyFrom(StateCodec.write(result))))
                    .build());
    Request request;
    try {
      request = StateCodec.read(call.getBody().toByteArray(), Request.class);
    } catch (PlantainknotException e) {
      logger.atWarning().log("call-invalid bytes=%d cause=%s", call.getBody().size(), e);
      answer.accept(new Reply.Invalid("the request can't be decoded"));
      return;
    }
    handle(request, answer);
  }

  private void handle(Request request, Consumer<Reply> answer) {
    if (request instanceof Request.Heartbeat heartbeat) {
      onHeartbeat(heartbeat.heartbeat());
      answer.accept(new Reply.HeartbeatTaken(heartbeatAddress));
    } else if (request instanceof Request.Leave leave) {
      logger.atInfo().log("worker-left worker=%s", leave.worker());
      directory.recordDeparture(leave.worker(), Clock.nowMillis());
      answer.accept(new Reply.Done());
    } else {
      requestProcessor.process(request, answer);
    }
  }

  /** Handles a heartbeat that the leader has forwarded; ignores one that can't be decoded. */
  void onForwardedHeartbeat(WorkerHeartbeatProto proto) {
    try {
      directory.recordHeartbeat(
          StateCodec.read(proto.getBody().toByteArray(), WorkerHeartbeat.class), Clock.nowMillis());
    } catch (PlantainknotException e) {
      logger.atWarning().log("forwarded-heartbeat-invalid cause=%s", e);
    }
  }

  /**
   * Records a heartbeat. One for a service that no configuration names comes from another writer,
   * or from a worker whose service was removed: it neither adds a worker nor replaces an
   * incarnation.
   */
  private void onHeartbeat(WorkerHeartbeat heartbeat) {
    Optional<WorkerHeartbeat> latest = directory.find(heartbeat.life().worker());
    boolean knownLife = latest.filter(known -> known.life().equals(heartbeat.life())).isPresent();
    if (!knownLife && !serviceKnown.test(heartbeat.service())) {
      logger.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
          "heartbeat-ignored service=%s worker=%s", heartbeat.service(), heartbeat.life().worker());
      return;
    }
    boolean known = latest.isPresent();
    directory.recordHeartbeat(heartbeat, Clock.nowMillis());
    if (!known) {
      logger.atInfo().log("worker-seen heartbeat=%s", heartbeat);
    }
    if (heartbeatFilter.pass(heartbeat, Clock.nowMillis())) {
      forward(heartbeat);
    }
  }

  private void forward(WorkerHeartbeat heartbeat) {
    WorkerHeartbeatProto body =
        WorkerHeartbeatProto.newBuilder()
            .setBody(ByteString.copyFrom(StateCodec.write(heartbeat)))
            .build();
    broadcaster.accept(FrameProto.newBuilder().setWorkerHeartbeat(body).build());
  }
}
