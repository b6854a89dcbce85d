package org.plantainknot.bench.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.plantainknot.bench.standin.SwitchableLink;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;
import org.plantainknot.core.schedule.Action;
import org.plantainknot.core.schedule.CallOutcome;
import org.plantainknot.core.schedule.DispatchOracle;
import org.plantainknot.core.schedule.FakeWorker;
import org.plantainknot.core.schedule.ListedEnd;
import org.plantainknot.core.schedule.ListedRun;
import org.plantainknot.core.schedule.WorkerHeartbeat;
import org.plantainknot.core.schedule.WorkerReport;
import org.plantainknot.core.schedule.WorkerTarget;
import org.plantainknot.daemon.settings.HostPort;

/**
 * Worker behind a link that can be partitioned. It speaks the protocol of the users' platform
 * (PROTOCOL, "Running work units" and "Service discovery").
 *
 * <p>The worker is only accessed while the lock of the site is held.
 */
final class WorkerServer {

  static final Resources CAPACITY = new Resources(32_000, 64_000, 0);

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long ADVANCE_INTERVAL_MILLIS = 20;
  private static final long MIN_TASK_MILLIS = 50;
  private static final long MAX_TASK_MILLIS = 800;

  /** One of so many runs fails, at its end. */
  private static final int RUNS_PER_FAILURE = 20;

  private static final int SERVER_PORT = 7005;
  private static final int LINK_PORT = 7006;

  private final SoakSite site;
  private final FakeWorker worker;
  private final SwitchableLink link;
  private final String name;
  private final SplittableRandom random;

  WorkerServer(
      SoakSite site, Vertx vertx, String host, int number, DispatchOracle oracle, long seed) {
    this.site = site;
    this.name = "w" + number;
    this.random = new SplittableRandom(seed);
    HostPort address = new HostPort(host, LINK_PORT);
    HostPort serverAddress = new HostPort(host, SERVER_PORT);
    this.worker =
        new FakeWorker(address.toString(), CAPACITY, List.of("a", "r" + number % 2), oracle);
    startIncarnation(name);
    this.link = new SwitchableLink(vertx, address, serverAddress);
    vertx
        .createHttpServer()
        .requestHandler(request -> request.body().onSuccess(body -> handle(request, body)))
        .listen(serverAddress.port(), serverAddress.host());
    vertx.setPeriodic(
        ADVANCE_INTERVAL_MILLIS, id -> site.runChecked(() -> worker.advance(site.nowMillis())));
  }

  /** Returns the expected processor time that the workers spend on all runs of a job. */
  static long expectedCoreMillis(JobSpec job) {
    long milliCores =
        job.steps().stream().mapToLong(step -> step.count() * step.size().milliCores()).sum();
    double runsPerTask = (double) RUNS_PER_FAILURE / (RUNS_PER_FAILURE - 1);
    double meanTaskMillis = (MIN_TASK_MILLIS + MAX_TASK_MILLIS) / 2.0;
    return (long) (milliCores / 1_000.0 * meanTaskMillis * runsPerTask);
  }

  SwitchableLink link() {
    return link;
  }

  /** Crashes the worker and restarts it as a new incarnation, under a new name or the same. */
  void crash(boolean sameName) {
    site.runChecked(() -> startIncarnation(sameName ? name : name + "-" + site.nowMillis()));
  }

  private void startIncarnation(String workerId) {
    worker.startIncarnation(workerId, site.nowMillis());
  }

  /** Returns the identifier of the worker's current incarnation. */
  String workerId() {
    String[] workerId = new String[1];
    site.runChecked(() -> workerId[0] = worker.incarnation().worker());
    return workerId[0];
  }

  /** Returns the next heartbeat with the identifier of the worker. */
  HeartbeatRequest heartbeat() {
    ObjectNode json = JSON.createObjectNode();
    String[] workerId = new String[1];
    site.runChecked(
        () -> {
          WorkerHeartbeat heartbeat = worker.heartbeat();
          workerId[0] = heartbeat.life().worker();
          json.put("service", heartbeat.service()).put("address", heartbeat.address());
          json.put("zone", "dc").put("version", "v1").put("slots", 8).put("state", "ready");
          json.put("seq", heartbeat.sequence()).put("born", heartbeat.life().bornMillis());
          json.put("machine", heartbeat.machine()).put("clock_ms", worker.clock(site.nowMillis()));
          json.putObject("capacity")
              .put("cpu", CAPACITY.milliCores())
              .put("mem_mb", CAPACITY.memoryMib())
              .put("gpu", 0);
          heartbeat.labels().forEach(json.withArray("labels")::add);
        });
    return new HeartbeatRequest(workerId[0], json.toString());
  }

  /**
   * Heartbeat to send to a controller.
   *
   * @param worker identifier of the worker
   * @param body heartbeat as JSON
   */
  record HeartbeatRequest(String worker, String body) {}

  private void handle(HttpServerRequest request, Buffer body) {
    site.runChecked(() -> route(request, body));
    if (!request.response().ended()) {
      request.response().setStatusCode(500).end();
    }
  }

  private void route(HttpServerRequest request, Buffer body) {
    JsonNode json;
    try {
      json = JSON.readTree(body.getBytes());
    } catch (IOException e) {
      request.response().setStatusCode(400).end();
      return;
    }
    long now = site.nowMillis();
    String expectedInstance = request.getHeader("X-Expect-Instance");
    WorkerTarget target = new WorkerTarget(new WorkerIncarnation(expectedInstance, 0), "");
    long fencingToken = json.path("fence").asLong();
    switch (request.path()) {
      case "/run-start" -> {
        Action.Start start =
            new Action.Start(
                target, parseRun(json), "", "", "", fencingToken, json.path("until_ms").asLong());
        long durationMillis = random.nextLong(MIN_TASK_MILLIS, MAX_TASK_MILLIS);
        boolean fails = random.nextInt(RUNS_PER_FAILURE) == 0;
        sendOutcome(request, worker.start(start, durationMillis, fails, now), now);
      }
      case "/run-stop" ->
          sendOutcome(
              request,
              worker.stop(new Action.Stop(target, parseRun(json), fencingToken), now),
              now);
      default -> {
        long lastSeen = json.path("last_seen").asLong();
        long untilMillis = json.path("until_ms").asLong();
        sendReport(
            request,
            worker.renew(new Action.Renew(target, fencingToken, lastSeen, untilMillis, 0), now),
            expectedInstance);
      }
    }
  }

  private static RunId parseRun(JsonNode json) {
    return new RunId(TaskId.parse(json.path("task").asText()), json.path("run").asInt());
  }

  private void sendOutcome(HttpServerRequest request, CallOutcome outcome, long nowMillis) {
    ObjectNode json = JSON.createObjectNode().put("clock_ms", worker.clock(nowMillis));
    switch (outcome) {
      case ACCEPTED -> sendJson(request, 200, json);
      case OTHER_LIFE -> sendJson(request, 421, json);
      case NO_ROOM -> sendJson(request, 409, json.put("reason", "room"));
      case FENCED -> sendJson(request, 409, json.put("reason", "fence"));
      default ->
          sendJson(request, 409, json.put("reason", outcome.name().toLowerCase(Locale.ROOT)));
    }
  }

  private void sendReport(HttpServerRequest request, WorkerReport report, String expectedInstance) {
    ObjectNode json = JSON.createObjectNode().put("born", worker.incarnation().bornMillis());
    if (report == null) {
      boolean otherIncarnation = !worker.incarnation().worker().equals(expectedInstance);
      sendJson(request, otherIncarnation ? 421 : 409, json.put("reason", "fence"));
      return;
    }
    json.put("clock_ms", report.clockMillis());
    ArrayNode running = json.putArray("running");
    for (ListedRun task : report.running()) {
      running.addArray().add(task.run().task().toString()).add(task.run().run()).add("").add(100);
    }
    ArrayNode ended = json.putArray("ended");
    for (ListedEnd listed : report.ended()) {
      RunId run = listed.end().run();
      ended
          .addArray()
          .add(listed.number())
          .add(run.task().toString())
          .add(run.run())
          .add(listed.end().kind().name().toLowerCase(Locale.ROOT))
          .add("");
    }
    sendJson(request, 200, json);
  }

  private static void sendJson(HttpServerRequest request, int status, ObjectNode json) {
    request.response().setStatusCode(status).end(json.toString());
  }
}
