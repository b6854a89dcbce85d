import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runner that behaves as the pages say: leases, fences, runs, ends and check-ins.
 *
 * <p>The text of a submission tells what its work units do: {@code last} runs until it is stopped,
 * {@code done:MS} ends as done and {@code failed:MS} as failed after so many milliseconds.
 */
final class Runner {

  private static final long HOLD_MAX_MILLIS = 6_000;
  private static final long STOP_MILLIS = 50;
  private static final long STARTUP_MILLIS = 300;
  private static final long BEAT_MILLIS = 1_500;
  private static final long MIN_BACKOFF_MILLIS = 100;
  private static final long MAX_BACKOFF_MILLIS = 1_000;
  private static final int MAX_ENDS = 500;
  private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime() & 0xffffff);

  /** Observer of the runs on all runners. */
  interface Observer {
    void started(Runner runner, String task, int run);

    void ended(Runner runner, String task, int run, String how);

    void noted(Runner runner, String task, int run, String how);
  }

  private static final class Run {
    String task;
    int run;
    String spec;
    long startedAt;
    long stoppedAt;
  }

  private record End(long number, String task, int run, String how) {}

  final String id;
  final String machine;
  final String service;
  final String host;
  final int port;
  private final long born = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();
  private final int cpu;
  private final List<String> controls;
  private final Trace trace;
  private final Observer observer;
  private final HttpServer server;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final List<End> ended = new ArrayList<>();
  private final Map<String, Integer> highestEndedRun = new HashMap<>();
  private long ends;
  private long fence;
  private long leaseUntil;
  private long beats;
  private String beatAddress = "";
  private volatile String state = "ready";
  private boolean resetNextHold;
  private volatile boolean dead;

  /** Starts a runner under a new identifier. */
  Runner(
      String machine,
      String service,
      String host,
      int port,
      int cpu,
      List<String> controls,
      Trace trace,
      Observer observer)
      throws IOException {
    this(
        String.format("i-%010x", NEXT_ID.incrementAndGet()),
        machine,
        service,
        host,
        port,
        cpu,
        controls,
        trace,
        observer);
  }

  Runner(
      String id,
      String machine,
      String service,
      String host,
      int port,
      int cpu,
      List<String> controls,
      Trace trace,
      Observer observer)
      throws IOException {
    this.id = id;
    this.machine = machine;
    this.service = service;
    this.host = host;
    this.port = port;
    this.cpu = cpu;
    this.controls = controls;
    this.trace = trace;
    this.observer = observer;
    this.server = Http.serve(host, port, this::handle);
    trace.add("runner %s up on %s in %s", id, machine, service);
    startThread(this::beatUntilDead);
    startThread(this::workUntilDead);
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  /** Reports from now on that it drains. */
  void drain() {
    state = "draining";
  }

  /** Resets the connection of the call for the lists that waits for an end, or of the next one. */
  synchronized void resetHold() {
    resetNextHold = true;
    notifyAll();
  }

  /** Lets the run that was started first fail by its own fault. */
  synchronized void failOne() {
    running.values().stream().findFirst().ifPresent(run -> end(run, "failed"));
  }

  /** Ends this life of the machine; everything on it terminates. */
  void terminate(String cause) {
    List<Run> lost;
    synchronized (this) {
      dead = true;
      lost = List.copyOf(running.values());
      running.clear();
      notifyAll();
    }
    server.stop(0);
    trace.add("runner %s down on %s: %s", id, machine, cause);
    lost.forEach(run -> observer.ended(this, run.task, run.run, cause));
  }

  synchronized int countRunning() {
    return running.size();
  }

  private long clock() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void handle(HttpExchange exchange) throws IOException {
    JsonNode body = Http.readJson(exchange);
    String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
    if (dead) {
      exchange.close();
      return;
    }
    if (expected != null && !expected.equals(id)) {
      Http.reply(exchange, 421, "{}");
      return;
    }
    switch (exchange.getRequestURI().getPath()) {
      case "/run-start" -> answer(exchange, start(body));
      case "/run-stop" -> answer(exchange, stop(body));
      case "/hold" -> hold(exchange, body);
      default -> Http.reply(exchange, 404, "{}");
    }
  }

  private void answer(HttpExchange exchange, String reason) throws IOException {
    String json = "{\"born\":" + born + ",\"clock_ms\":" + clock();
    if (reason.isEmpty()) {
      Http.reply(exchange, 200, json + "}");
    } else {
      Http.reply(exchange, 409, json + ",\"reason\":\"" + reason + "\"}");
    }
  }

  private synchronized String start(JsonNode body) {
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    String reason = refusal(body, task, number);
    boolean there = running.containsKey(task) && running.get(task).run == number;
    trace.add(
        "start %s#%d at %s fence=%d: %s",
        task, number, id, body.path("fence").asLong(), reason.isEmpty() ? "200" : reason);
    if (reason.isEmpty() && !there) {
      Run run = new Run();
      run.task = task;
      run.run = number;
      run.spec = body.path("spec").asText();
      run.startedAt = clock();
      running.put(task, run);
      observer.started(this, task, number);
      notifyAll();
    }
    return reason;
  }

  private String refusal(JsonNode body, String task, int number) {
    if (body.path("fence").asLong() < fence) {
      return "fence";
    }
    fence = body.path("fence").asLong();
    if (body.path("until_ms").asLong() <= clock()) {
      return "late";
    }
    extend(body.path("until_ms").asLong());
    if (running.containsKey(task)) {
      return running.get(task).run == number ? "" : "old";
    }
    return number <= highestEndedRun.getOrDefault(task, 0) ? "old" : "";
  }

  private void extend(long until) {
    leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + HOLD_MAX_MILLIS));
  }

  private synchronized String stop(JsonNode body) {
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    boolean fenced = body.path("fence").asLong() < fence;
    trace.add(
        "stop %s#%d at %s fence=%d: %s",
        task, number, id, body.path("fence").asLong(), fenced ? "fence" : "200");
    if (fenced) {
      return "fence";
    }
    fence = body.path("fence").asLong();
    highestEndedRun.merge(task, number, Math::max);
    Run run = running.get(task);
    if (run != null && run.run <= number && run.stoppedAt == 0) {
      run.stoppedAt = clock();
    }
    return "";
  }

  private void hold(HttpExchange exchange, JsonNode body) throws IOException {
    String json;
    synchronized (this) {
      if (body.path("fence").asLong() < fence) {
        json = null;
      } else {
        fence = body.path("fence").asLong();
        if (body.has("until_ms")) {
          extend(body.path("until_ms").asLong());
        }
        long lastSeen = body.path("last_seen").asLong();
        for (End end : ended) {
          if (end.number() <= lastSeen) {
            trace.add("noted %s#%d %s at %s", end.task(), end.run(), end.how(), id);
            observer.noted(this, end.task(), end.run(), end.how());
          }
        }
        ended.removeIf(end -> end.number() <= lastSeen);
        awaitEnd(body.path("wait_ms").asLong());
        if (resetNextHold) {
          resetNextHold = false;
          trace.add("connection of a call to %s is reset", id);
          exchange.close();
          return;
        }
        json = report();
      }
    }
    if (dead) {
      exchange.close();
    } else if (json == null) {
      answer(exchange, "fence");
    } else {
      Http.reply(exchange, 200, json);
    }
  }

  private void awaitEnd(long waitMillis) {
    long until = clock() + waitMillis;
    while (ended.isEmpty() && !dead && !resetNextHold && clock() < until) {
      try {
        wait(Math.max(1, until - clock()));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private String report() {
    ObjectNode json = Http.JSON.createObjectNode();
    json.put("born", born).put("clock_ms", clock());
    ArrayNode rows = json.putArray("running");
    for (Run run : running.values()) {
      rows.addArray().add(run.task).add(run.run).add("").add(percent(run)).add(0);
    }
    ArrayNode endRows = json.putArray("ended");
    ended.stream()
        .limit(MAX_ENDS)
        .forEach(
            end ->
                endRows
                    .addArray()
                    .add(end.number())
                    .add(end.task())
                    .add(end.run())
                    .add(end.how())
                    .add(""));
    return json.toString();
  }

  private int percent(Run run) {
    long worked = clock() - run.startedAt;
    if (lasts(run)) {
      return worked >= STARTUP_MILLIS ? 100 : 10;
    }
    return (int) Math.min(99, 100 * worked / Math.max(1, workMillis(run)));
  }

  private static boolean lasts(Run run) {
    return run.spec.equals("last");
  }

  private static long workMillis(Run run) {
    return Long.parseLong(run.spec.substring(run.spec.indexOf(':') + 1));
  }

  private void workUntilDead() {
    while (!dead) {
      sleep(20);
      synchronized (this) {
        for (Run run : List.copyOf(running.values())) {
          if (clock() > leaseUntil) {
            end(run, "lapsed");
          } else if (run.stoppedAt > 0) {
            if (clock() - run.stoppedAt >= STOP_MILLIS) {
              end(run, "stopped");
            }
          } else if (lasts(run)) {
            continue;
          } else if (clock() - run.startedAt >= workMillis(run)) {
            end(run, run.spec.substring(0, run.spec.indexOf(':')));
          }
        }
      }
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    highestEndedRun.merge(run.task, run.run, Math::max);
    ended.add(new End(++ends, run.task, run.run, how));
    trace.add("end %s#%d %s at %s", run.task, run.run, how, id);
    observer.ended(this, run.task, run.run, how);
    notifyAll();
  }

  /** Checks in; after a failure the next node is called, with increasing backoff. */
  private void beatUntilDead() {
    int next = (int) (Math.abs(id.hashCode()) % controls.size());
    long pauseMillis = MIN_BACKOFF_MILLIS;
    while (!dead) {
      String address = beatAddress.isEmpty() ? controls.get(next) : beatAddress;
      Http.Response response = Http.send("PUT", address, "/instances/" + id, beat(), 1_000);
      if (response.status() == 200) {
        try {
          beatAddress = response.json().path("heartbeat_address").asText("");
        } catch (IOException e) {
          beatAddress = "";
        }
        pauseMillis = MIN_BACKOFF_MILLIS;
        sleep(BEAT_MILLIS);
      } else {
        beatAddress = "";
        next = (next + 1) % controls.size();
        sleep(pauseMillis);
        pauseMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * pauseMillis);
      }
    }
  }

  private String beat() {
    ObjectNode json = Http.JSON.createObjectNode();
    json.put("service", service).put("address", host + ":" + port).put("zone", "z1");
    json.put("version", "v1").put("slots", 8).put("state", state).put("cold_remaining_ms", 0);
    json.putObject("capacity").put("cpu", cpu).put("mem_mb", 32_768).put("gpu", 0);
    json.putArray("labels").add("a").add("r1-1");
    json.put("machine", machine).put("born", born).put("clock_ms", clock()).put("seq", ++beats);
    return json.toString();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
