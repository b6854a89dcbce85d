package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runner that follows PROTOCOL, "Running work units" and "Service discovery". */
final class Runner implements AutoCloseable {

  private static final int PORT = 8080;
  private static final long TICK_MILLIS = 10;

  /** Time after its start from which a work unit that lasts is at work. */
  private static final long PERSISTENT_STARTUP_MILLIS = 300;

  /** Time that the runner takes to answer an order. */
  private static final long ORDER_MILLIS = 5;

  private static final int MAX_ENDS_LISTED = 500;

  private final Recorder recorder;
  private final Work work;
  private final Gangs gangs;
  private final String id;
  private final String service;
  private final String address;
  private final String rack;
  private final long milliCores;
  private final List<String> controllers;
  private final HttpServer server;
  private final ExecutorService handlers = Executors.newCachedThreadPool();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final HttpClients client = new HttpClients();
  private final long bornMillis = System.currentTimeMillis();
  private final long bornNanos = System.nanoTime();

  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> highestClosedRun = new HashMap<>();
  private final List<End> ended = new ArrayList<>();
  private long fence;
  private long leaseUntilMillis;

  /** Number of leases; one that is renewed in time counts as the same. */
  private long leases;

  private long nextEnd = 1;
  private long sequence;
  private String heartbeatAddress = "";

  private static final class Run {
    private final String task;
    private final int run;
    private final Work.Plan plan;
    private final long startedAtMillis;

    Run(String task, int run, Work.Plan plan, long startedAtMillis) {
      this.task = task;
      this.run = run;
      this.plan = plan;
      this.startedAtMillis = startedAtMillis;
    }
  }

  private record End(long number, String task, int run, String how, long leases) {}

  /** Creates a runner and starts its listener and its check-ins. */
  Runner(
      Recorder recorder,
      Work work,
      Gangs gangs,
      String name,
      String service,
      String host,
      long milliCores,
      List<String> controllers)
      throws IOException {
    this.recorder = recorder;
    this.work = work;
    this.gangs = gangs;
    this.id = "i-" + name;
    this.service = service;
    this.address = host + ":" + PORT;
    this.rack = "r1-" + name;
    this.milliCores = milliCores;
    this.controllers = controllers;
    this.server = HttpServer.create(new InetSocketAddress(host, PORT), 64);
    server.setExecutor(handlers);
    server.createContext("/", this::handle);
    server.start();
    timer.scheduleAtFixedRate(this::advance, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    timer.scheduleWithFixedDelay(
        this::checkIn, 0, Bounds.HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
  }

  synchronized boolean isBusy() {
    return !running.isEmpty();
  }

  String id() {
    return id;
  }

  String address() {
    return address;
  }

  String service() {
    return service;
  }

  String machine() {
    return "m-" + id;
  }

  String rack() {
    return rack;
  }

  long milliCores() {
    return milliCores;
  }

  /** Ends the runner without a word to anybody; everything that runs on it ends. */
  void crash() {
    close();
    synchronized (this) {
      recorder.event(id, "crash");
      for (Run run : List.copyOf(running.values())) {
        end(run, "lost");
      }
    }
  }

  @Override
  public void close() {
    server.stop(0);
    timer.shutdownNow();
    handlers.shutdownNow();
  }

  private long clock() {
    return 1 + (System.nanoTime() - bornNanos) / 1_000_000;
  }

  /** Sends a check-in to the controllers in turn until one acknowledges it. */
  private void checkIn() {
    List<String> targets = new ArrayList<>();
    if (!heartbeatAddress.isEmpty()) {
      targets.add(heartbeatAddress);
    }
    targets.addAll(controllers);
    for (String target : targets) {
      HttpClients.Response response =
          client.call("PUT", target, "/instances/" + id, "", checkInBody(), 1_000);
      if (response.status() == 200) {
        heartbeatAddress = response.json().path("heartbeat_address").asText("");
        return;
      }
    }
    heartbeatAddress = "";
  }

  private synchronized String checkInBody() {
    ObjectNode json = HttpClients.JSON.createObjectNode();
    json.put("service", service).put("address", address).put("zone", "z1").put("version", "v1");
    json.put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
    json.putObject("capacity").put("cpu", milliCores).put("mem_mb", 32768).put("gpu", 0);
    json.putArray("labels").add("a").add(rack);
    json.put("machine", machine()).put("born", bornMillis).put("clock_ms", clock());
    json.put("seq", ++sequence);
    return json.toString();
  }

  private void handle(HttpExchange exchange) throws IOException {
    JsonNode request = HttpClients.JSON.readTree(exchange.getRequestBody().readAllBytes());
    ObjectNode response = HttpClients.JSON.createObjectNode();
    int status;
    if (!id.equals(exchange.getRequestHeaders().getFirst("X-Expect-Instance"))) {
      status = 421;
    } else {
      status = dispatch(exchange.getRequestURI().getPath(), request, response);
    }
    if (!exchange.getRequestURI().getPath().equals("/hold")) {
      Site.pause(ORDER_MILLIS);
    }
    byte[] body = response.toString().getBytes();
    exchange.getResponseHeaders().add("Content-Type", "application/json");
    exchange.getResponseHeaders().add("X-Instance-Id", id);
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private int dispatch(String path, JsonNode request, ObjectNode response) {
    switch (path) {
      case "/run-start":
        return start(request, response);
      case "/run-stop":
        return stop(request, response);
      case "/hold":
        return hold(request, response);
      default:
        return 404;
    }
  }

  private synchronized boolean isFenced(JsonNode request, ObjectNode response) {
    response.put("clock_ms", clock());
    long given = request.path("fence").asLong();
    if (given < fence) {
      response.put("reason", "fence");
      return true;
    }
    fence = given;
    return false;
  }

  private synchronized int start(JsonNode request, ObjectNode response) {
    if (isFenced(request, response)) {
      return 409;
    }
    String task = request.path("task").asText();
    int run = request.path("run").asInt();
    long untilMillis = request.path("until_ms").asLong();
    String key = task + "#" + run;
    if (running.containsKey(key)) {
      extend(untilMillis);
      return 200;
    }
    if (run <= highestClosedRun.getOrDefault(task, 0)) {
      extend(untilMillis);
      recorder.event(id, "run-start " + key + " -> old");
      response.put("reason", "old");
      return 409;
    }
    if (untilMillis <= clock()) {
      response.put("reason", "late");
      return 409;
    }
    extend(untilMillis);
    Work.Plan plan = work.plan(task, run);
    long used = running.values().stream().mapToLong(other -> other.plan.milliCores()).sum();
    if (used + plan.milliCores() > milliCores) {
      response.put("reason", "room");
      return 409;
    }
    running.put(key, new Run(task, run, plan, clock()));
    recorder.event(id, "run-start " + key + " -> begun");
    recorder.runs().started(task, run, recorder.nowMillis());
    if (plan.members() > 1) {
      gangs.join(task, run, plan.members(), recorder.nowMillis());
    }
    return 200;
  }

  private synchronized int stop(JsonNode request, ObjectNode response) {
    if (isFenced(request, response)) {
      return 409;
    }
    String task = request.path("task").asText();
    int run = request.path("run").asInt();
    highestClosedRun.merge(task, run, Math::max);
    Run stopped = running.get(task + "#" + run);
    recorder.event(id, "run-stop " + task + "#" + run + (stopped == null ? " -> not there" : ""));
    if (stopped != null) {
      end(stopped, "stopped");
    }
    return 200;
  }

  private synchronized int hold(JsonNode request, ObjectNode response) {
    if (isFenced(request, response)) {
      return 409;
    }
    long lastSeen = request.path("last_seen").asLong();
    takeNote(lastSeen);
    if (request.has("until_ms")) {
      extend(request.path("until_ms").asLong());
    }
    long waitUntilNanos = System.nanoTime() + request.path("wait_ms").asLong() * 1_000_000;
    try {
      while (ended.isEmpty() && System.nanoTime() < waitUntilNanos) {
        wait(TICK_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    response.put("clock_ms", clock()).put("born", bornMillis);
    ArrayNode runningRows = response.putArray("running");
    for (Run run : running.values()) {
      runningRows.addArray().add(run.task).add(run.run).add("").add(percent(run)).add(0);
    }
    ArrayNode endedRows = response.putArray("ended");
    ended.stream()
        .limit(MAX_ENDS_LISTED)
        .forEach(
            end ->
                endedRows
                    .addArray()
                    .add(end.number())
                    .add(end.task())
                    .add(end.run())
                    .add(end.how())
                    .add(""));
    return 200;
  }

  /** Forgets the ends that the system has seen. */
  private void takeNote(long lastSeen) {
    for (End end : List.copyOf(ended)) {
      if (end.number() <= lastSeen) {
        ended.remove(end);
        if (end.leases() == leases) {
          recorder.runs().noted(end.task(), end.run());
        }
      }
    }
  }

  /** Returns the progress in whole percent, as in the page's example. */
  private long percent(Run run) {
    if (run.plan.persistent()) {
      return clock() - run.startedAtMillis >= PERSISTENT_STARTUP_MILLIS ? 100 : 0;
    }
    return Math.min(99, 100 * workedMillis(run) / Math.max(1, run.plan.durationMillis()));
  }

  private long workedMillis(Run run) {
    if (run.plan.members() == 1) {
      return clock() - run.startedAtMillis;
    }
    long since = gangs.workingSinceMillis(run.task, run.run);
    return since < 0 ? 0 : recorder.nowMillis() - since;
  }

  private void extend(long untilMillis) {
    if (clock() > leaseUntilMillis) {
      leases++;
    }
    long longest = clock() + Bounds.HOLD_MAX_MILLIS;
    leaseUntilMillis = Math.max(leaseUntilMillis, Math.min(untilMillis, longest));
  }

  /** Ends the runs that are due, and all of them once the lease has expired. */
  private synchronized void advance() {
    boolean lapsed = clock() > leaseUntilMillis;
    for (Run run : List.copyOf(running.values())) {
      if (lapsed) {
        end(run, "lapsed");
      } else if (run.plan.members() > 1) {
        advanceMember(run);
      } else if (workedMillis(run) >= run.plan.durationMillis()) {
        end(run, run.plan.end());
      }
    }
  }

  private void advanceMember(Run run) {
    boolean works = gangs.workingSinceMillis(run.task, run.run) >= 0;
    if (gangs.isBroken(run.task, run.run)) {
      end(run, "broken");
    } else if (!works && clock() - run.startedAtMillis >= Bounds.GANG_TIMEOUT_MILLIS) {
      end(run, "alone");
    } else if (works && workedMillis(run) >= run.plan.durationMillis()) {
      end(run, run.plan.end());
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task + "#" + run.run);
    highestClosedRun.merge(run.task, run.run, Math::max);
    ended.add(new End(nextEnd++, run.task, run.run, how, leases));
    if (run.plan.members() > 1 && !how.equals("done")) {
      gangs.leave(run.task, run.run);
    }
    recorder.event(id, "end " + run.task + "#" + run.run + " " + how);
    recorder.runs().ended(run.task, run.run, how, recorder.nowMillis());
    notifyAll();
  }
}
