package org.plantainknot.daemon.controller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.job.AdviceTerms;
import org.plantainknot.core.job.FleetConfig;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.QueueConfig;
import org.plantainknot.core.job.ServiceConfig;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;
import org.plantainknot.core.schedule.WorkerDirectory;
import org.plantainknot.core.schedule.WorkerHeartbeat;
import org.plantainknot.core.schedule.WorkerPhase;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.daemon.metrics.DecisionMetrics;
import org.plantainknot.wire.member.CallProto;
import org.plantainknot.wire.member.FrameProto;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests heartbeats for services that no configuration names. They guard against a worker whose work
 * is started again, or that is lost, because another writer uses its id or its address.
 */
public class ForeignHeartbeatTest {

  private final List<FrameProto> replies = new ArrayList<>();
  private final List<FrameProto> forwarded = new ArrayList<>();
  private JobLedger ledger;
  private WorkerDirectory directory;
  private CallHandler handler;

  @BeforeMethod
  void createHandler() {
    replies.clear();
    forwarded.clear();
    ledger = new JobLedger();
    directory = new WorkerDirectory();
    RequestProcessor processor =
        new RequestProcessor(ledger, command -> 1, new DecisionMetrics(new MetricRegistry()));
    handler =
        new CallHandler(
            () -> true, directory, processor, ledger::mayHaveWorkers, "", forwarded::add);
  }

  @Test
  void aHeartbeatForAnUnknownServiceIsAnsweredAndAddsNoWorker() {
    putConfig(1, "s");
    send("agent", 7, 1, "log-agent");
    byte[] body = replies.get(0).getCallReply().getBody().toByteArray();
    assertTrue(StateCodec.read(body, Reply.class) instanceof Reply.HeartbeatTaken);
    assertEquals(directory.find("agent"), Optional.empty());
    assertTrue(forwarded.isEmpty());
  }

  @Test
  void aHeartbeatForAnUnknownServiceReplacesNoIncarnation() {
    putConfig(1, "s");
    send("w", 1, 1, "s");
    send("w", 7, 1, "log-agent");
    assertEquals(directory.find("w").orElseThrow().life(), new WorkerIncarnation("w", 1));
    send("w", 1, 2, "s");
    assertEquals(directory.find("w").orElseThrow().sequence(), 2);
  }

  @Test
  void aWorkerWhoseServiceIsRemovedIsFollowedFurther() {
    putConfig(1, "s");
    send("w", 1, 1, "s");
    putConfig(2, "t");
    send("w", 1, 2, "s");
    assertEquals(directory.find("w").orElseThrow().sequence(), 2);
  }

  @Test
  void eachHeartbeatIsTakenBeforeTheFirstConfiguration() {
    send("w", 1, 1, "s");
    assertTrue(directory.find("w").isPresent());
  }

  private void putConfig(long version, String service) {
    QueueConfig queue =
        new QueueConfig("q", "h", "/q/", service, 0, 4, 2, 1_000, 3_000, AdviceTerms.NONE);
    List<ServiceConfig> services = List.of(new ServiceConfig(service, false));
    FleetConfig config = new FleetConfig(version, List.of(queue), services, "{}");
    ledger.apply(0, new JobCommand.PutConfig(config));
  }

  private void send(String worker, long bornMillis, long sequence, String service) {
    WorkerHeartbeat heartbeat =
        new WorkerHeartbeat(
            new WorkerIncarnation(worker, bornMillis),
            sequence,
            service,
            "10.0.0.9:80",
            "dc",
            WorkerPhase.READY,
            0,
            new Resources(1_000, 1_000, 0),
            List.of("a", "r1"),
            "m");
    ByteString body = ByteString.copyFrom(StateCodec.write(new Request.Heartbeat(heartbeat)));
    handler.handle(CallProto.newBuilder().setCallId(1).setBody(body).build(), replies::add);
  }
}
