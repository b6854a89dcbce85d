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
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.job.WorkerLife;
import org.plantainknot.core.placement.Resources;
import org.plantainknot.core.schedule.Action;
import org.plantainknot.core.schedule.CallOutcome;
import org.plantainknot.core.schedule.DispatchOracle;
import org.plantainknot.core.schedule.FakeWorker;
import org.plantainknot.core.schedule.ListedEnd;
import org.plantainknot.core.schedule.RunningTask;
import org.plantainknot.core.schedule.WorkerHeartbeat;
import org.plantainknot.core.schedule.WorkerReport;
import org.plantainknot.core.schedule.WorkerTarget;
import org.plantainknot.daemon.settings.HostPort;

/**
 * Worker behind a link that can fall silent, over the protocol of the users' platform (PROTOCOL,
 * "Running work units" and "Service discovery"). All use of the worker is on the site's lock.
 */
final class WorkerServer {

  static final Resources CAPACITY = new Resources(32_000, 64_000, 0);

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long ADVANCE_MILLIS = 20;
  private static final long LONGEST_TASK_MILLIS = 800;
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
    HostPort server = new HostPort(host, SERVER_PORT);
    this.worker =
        new FakeWorker(address.toString(), CAPACITY, List.of("a", "r" + number % 2), oracle);
    begin(name);
    this.link = new SwitchableLink(vertx, address, server);
    vertx
        .createHttpServer()
        .requestHandler(request -> request.body().onSuccess(body -> serve(request, body)))
        .listen(server.port(), server.host());
    vertx.setPeriodic(ADVANCE_MILLIS, id -> site.judged(() -> worker.advance(site.nowMillis())));
  }

  SwitchableLink link() {
    return link;
  }

  /** Crashes, and begins another life under another name or the same. */
  void crash(boolean sameName) {
    site.judged(() -> begin(sameName ? name : name + "-" + site.nowMillis()));
  }

  private void begin(String id) {
    worker.begin(id, site.nowMillis());
  }

  /** Returns the identifier and the next heartbeat. */
  HeartbeatCall heartbeat() {
    ObjectNode json = JSON.createObjectNode();
    String[] id = new String[1];
    site.judged(
        () -> {
          WorkerHeartbeat beat = worker.heartbeat();
          id[0] = beat.life().worker();
          json.put("service", beat.service()).put("address", beat.address());
          json.put("zone", "dc").put("version", "v1").put("slots", 8).put("state", "ready");
          json.put("seq", beat.sequence()).put("born", beat.life().bornMillis());
          json.put("machine", beat.machine()).put("clock_ms", worker.clock(site.nowMillis()));
          json.putObject("capacity")
              .put("cpu", CAPACITY.milliCores())
              .put("mem_mb", CAPACITY.memoryMib())
              .put("gpu", 0);
          beat.labels().forEach(json.withArray("labels")::add);
        });
    return new HeartbeatCall(id[0], json.toString());
  }

  /**
   * Heartbeat to send.
   *
   * @param worker identifier of the worker
   * @param body what it says
   */
  record HeartbeatCall(String worker, String body) {}

  private void serve(HttpServerRequest request, Buffer body) {
    site.judged(() -> answer(request, body));
    if (!request.response().ended()) {
      request.response().setStatusCode(500).end();
    }
  }

  private void answer(HttpServerRequest request, Buffer body) {
    JsonNode json;
    try {
      json = JSON.readTree(body.getBytes());
    } catch (IOException e) {
      request.response().setStatusCode(400).end();
      return;
    }
    long now = site.nowMillis();
    String expected = request.getHeader("X-Expect-Instance");
    WorkerTarget target = new WorkerTarget(new WorkerLife(expected, 0), "");
    long fence = json.path("fence").asLong();
    switch (request.path()) {
      case "/run-start" -> {
        Action.Start start =
            new Action.Start(target, run(json), "", "", "", fence, json.path("until_ms").asLong());
        long durationMillis = random.nextLong(50, LONGEST_TASK_MILLIS);
        tell(request, worker.start(start, durationMillis, random.nextInt(20) == 0, now), now);
      }
      case "/run-stop" ->
          tell(request, worker.stop(new Action.Stop(target, run(json), fence), now), now);
      default -> {
        long lastSeen = json.path("last_seen").asLong();
        long untilMillis = json.path("until_ms").asLong();
        report(
            request,
            worker.renew(new Action.Renew(target, fence, lastSeen, untilMillis, 0), now),
            expected);
      }
    }
  }

  private static RunId run(JsonNode json) {
    return new RunId(TaskId.parse(json.path("task").asText()), json.path("run").asInt());
  }

  private void tell(HttpServerRequest request, CallOutcome outcome, long nowMillis) {
    ObjectNode json = JSON.createObjectNode().put("clock_ms", worker.clock(nowMillis));
    switch (outcome) {
      case ACCEPTED -> end(request, 200, json);
      case OTHER_LIFE -> end(request, 421, json);
      case NO_ROOM -> end(request, 409, json.put("reason", "room"));
      case FENCED -> end(request, 409, json.put("reason", "fence"));
      default -> end(request, 409, json.put("reason", outcome.name().toLowerCase(Locale.ROOT)));
    }
  }

  private void report(HttpServerRequest request, WorkerReport report, String expected) {
    ObjectNode json = JSON.createObjectNode().put("born", worker.life().bornMillis());
    if (report == null) {
      boolean other = !worker.life().worker().equals(expected);
      end(request, other ? 421 : 409, json.put("reason", "fence"));
      return;
    }
    json.put("clock_ms", report.clockMillis());
    ArrayNode running = json.putArray("running");
    for (RunningTask task : report.running()) {
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
    end(request, 200, json);
  }

  private static void end(HttpServerRequest request, int status, ObjectNode json) {
    request.response().setStatusCode(status).end(json.toString());
  }
}
