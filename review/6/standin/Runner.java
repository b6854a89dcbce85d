package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * A sound runner, as PROTOCOL.md describes it, in one life. What a work unit does stands in the
 * payload: {@code cpu=1000 ms=700 how=done}; {@code ms=0} is a work unit that lasts.
 */
public final class Runner implements AutoCloseable {

  public static final long HEARTBEAT_MILLIS = 1_500;
  private static final long MAX_LEASE_MILLIS = 6_000;
  private static final long STARTUP_MILLIS = 300;
  private static final long STOP_MILLIS = 100;

  /** A run of a work unit on this runner. */
  public static final class Run {
    public final String task;
    public final int run;
    final long cpu;
    final long workMillis;
    final String how;
    final long startedAt;
    long stopAt = Long.MAX_VALUE;

    Run(String task, int run, String payload, long startedAt) {
      this.task = task;
      this.run = run;
      this.cpu = Long.parseLong(word(payload, "cpu", "1000"));
      this.workMillis = Long.parseLong(word(payload, "ms", "700"));
      this.how = word(payload, "how", "done");
      this.startedAt = startedAt;
    }

    long percent(long now) {
      if (workMillis == 0) {
        return now - startedAt >= STARTUP_MILLIS ? 100 : 0;
      }
      return Math.min(99, 100 * (now - startedAt) / workMillis);
    }
  }

  private record End(long number, String task, int run, String how) {}

  /** Notified of what happens on the runner. */
  public interface Listener {
    default void started(Runner runner, String task, int run) {}

    default void ended(Runner runner, String task, int run, String how) {}

    /** A start was left unanswered; it is to be carried out later. */
    default void startDelayed(Runner runner, JsonNode order) {}

    default void noted(Runner runner, String task, int run, String how) {}
  }

  public final String id;
  public final String service;
  public final String machine;
  public final String kind;
  public final long capacityCpu;
  public volatile Listener listener = new Listener() {};

  /** Whether the runner is unhealthy: it answers each start with 503 and does nothing. */
  public volatile boolean unhealthy;

  /** Number of the next answers to /hold that get lost. */
  public volatile int holdAnswersToLose;

  /** Number of the next starts that are left unanswered and carried out later. */
  public volatile int startsToDelay;

  private final Trace trace;
  private final List<String> control;
  private final String host;
  private final int port;
  private final String rack;
  private final long born = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();
  private final HttpServer server;
  private final Map<String, Run> running = new ConcurrentSkipListMap<>();
  private final Set<String> begun = new HashSet<>();
  private final List<End> ended = new ArrayList<>();
  private final Map<String, Integer> highestEndedRun = new HashMap<>();
  private long endNumber;
  private long fence;
  private long until;
  private long sequence;
  private volatile String state = "ready";
  private volatile boolean closed;
  private volatile String heartbeatAddress = "";
  private volatile long checkIns;
  private int nextControl;

  public Runner(
      Trace trace, Deployment site, String id, String service, String machine, String kind,
      int number, long capacityCpu, int port) throws IOException {
    this.trace = trace;
    this.control = site.control;
    this.id = id;
    this.service = service;
    this.machine = machine;
    this.kind = kind;
    this.rack = "r1-" + (number + 3) / 4;
    this.host = site.host(number);
    this.port = port;
    this.capacityCpu = capacityCpu;
    this.nextControl = number % control.size();
    this.server = Http.serve(host, port, this::handle);
    trace.log("runner %s born=%d service=%s machine=%s starts", id, born, service, machine);
    daemon(this::work, "runner-" + id);
    daemon(this::heartbeats, "heartbeat-" + id);
  }

  private static void daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  static String word(String payload, String name, String defaultValue) {
    for (String part : payload.split(" ")) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return defaultValue;
  }

  public long born() {
    return born;
  }

  /** Returns the names of the work units that run here. */
  public synchronized List<String> tasks() {
    return List.copyOf(running.keySet());
  }

  /** Returns how many check-ins were confirmed. */
  public long checkIns() {
    return checkIns;
  }

  /** Returns the names of the work units that are at work here. */
  public synchronized List<String> atWork() {
    long now = clock();
    return running.values().stream()
        .filter(run -> run.percent(now) == 100)
        .map(run -> run.task)
        .toList();
  }

  /** Returns the names of all work units that have begun here. */
  public synchronized Set<String> begun() {
    return Set.copyOf(begun);
  }

  /** Returns the run of a work unit that runs here, or 0. */
  public int runOf(String task) {
    Run run = running.get(task);
    return run == null ? 0 : run.run;
  }

  /** Returns the capacity that is in use. */
  public synchronized long usedCpu() {
    return running.values().stream().mapToLong(run -> run.cpu).sum();
  }

  /** Reports that the runner drains; returns once that is confirmed. */
  public void drain() throws InterruptedException {
    state = "draining";
    while (!beat()) {
      Thread.sleep(100);
    }
  }

  /** Says that the runner leaves, to one controller; returns whether that was confirmed. */
  public boolean leave(String address) {
    int status = Http.call("DELETE", address, "/instances/" + id, null, 1_000).status();
    trace.log("runner %s born=%d DELETE to=%s answer=%d", id, born, address, status);
    return status >= 200 && status < 300;
  }

  /** Ends the runner; everything on it ends. */
  @Override
  public void close() {
    closed = true;
    server.stop(0);
    synchronized (this) {
      running.clear();
      notifyAll();
    }
    trace.log("runner %s born=%d ends", id, born);
  }

  private long clock() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void heartbeats() {
    try {
      while (!closed) {
        beat();
        Thread.sleep(HEARTBEAT_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Checks in at one node after the other until one confirms it. */
  private boolean beat() {
    for (int attempt = 0; attempt <= control.size() && !closed; attempt++) {
      String address =
          heartbeatAddress.isEmpty()
              ? control.get(nextControl++ % control.size())
              : heartbeatAddress;
      Http.Response response =
          Http.call("PUT", address, "/instances/" + id, heartbeat(), 1_000);
      trace.log("runner %s check-in to=%s answer=%d", id, address, response.status());
      if (response.status() >= 200 && response.status() < 300) {
        String next = response.body().path("heartbeat_address").asText("");
        heartbeatAddress = next.isEmpty() ? heartbeatAddress : next;
        checkIns++;
        return true;
      }
      heartbeatAddress = "";
    }
    return false;
  }

  private synchronized String heartbeat() {
    ObjectNode json = Http.JSON.createObjectNode();
    json.put("service", service).put("address", host + ":" + port).put("zone", "zone-a");
    json.put("version", "v1").put("slots", 8).put("state", state).put("cold_remaining_ms", 0);
    json.put("machine", machine).put("born", born).put("clock_ms", clock()).put("seq", ++sequence);
    json.putObject("capacity").put("cpu", capacityCpu).put("mem_mb", 32_768).put("gpu", 0);
    json.putArray("labels").add(kind).add(rack);
    return json.toString();
  }

  private void work() {
    try {
      while (!closed) {
        step();
        Thread.sleep(10);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void step() {
    long now = clock();
    for (Run run : List.copyOf(running.values())) {
      if (now > until) {
        end(run, "lapsed");
      } else if (now >= run.stopAt) {
        end(run, "stopped");
      } else if (run.workMillis > 0 && now - run.startedAt >= run.workMillis) {
        end(run, run.how);
      }
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    highestEndedRun.merge(run.task, run.run, Math::max);
    ended.add(new End(++endNumber, run.task, run.run, how));
    trace.log("runner %s run-ended task=%s run=%d how=%s", id, run.task, run.run, how);
    listener.ended(this, run.task, run.run, how);
    notifyAll();
  }

  private void handle(HttpExchange exchange, JsonNode body) throws IOException {
    String path = exchange.getRequestURI().getPath();
    String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
    if (path.equals("/health")) {
      Http.answer(exchange, unhealthy ? 503 : 200, null);
    } else if (expected != null && !expected.equals(id)) {
      Http.answer(exchange, 421, said());
    } else if (path.equals("/run-start")) {
      start(exchange, body);
    } else if (path.equals("/run-stop")) {
      stop(exchange, body);
    } else if (path.equals("/hold")) {
      hold(exchange, body);
    } else if (path.equals("/pace")) {
      Http.answer(exchange, 200, said());
    } else {
      Http.answer(exchange, 404, said());
    }
  }

  private ObjectNode said() {
    return Http.JSON.createObjectNode().put("born", born).put("clock_ms", clock());
  }

  private void start(HttpExchange exchange, JsonNode body) throws IOException {
    String task = body.path("task").asText();
    int run = body.path("run").asInt();
    if (startsToDelay > 0) {
      startsToDelay--;
      trace.log("runner %s order run-start task=%s run=%d left unanswered", id, task, run);
      listener.startDelayed(this, body);
      exchange.close();
      return;
    }
    String refusal;
    synchronized (this) {
      refusal = unhealthy ? "unhealthy" : tryStart(task, run, body);
    }
    trace.log(
        "runner %s order run-start task=%s run=%d fence=%s answer=%s",
        id, task, run, body.path("fence"), refusal.isEmpty() ? "200" : refusal);
    if (refusal.isEmpty()) {
      Http.answer(exchange, 200, said());
    } else if (refusal.equals("unhealthy")) {
      Http.answer(exchange, 503, null);
    } else {
      Http.answer(exchange, 409, said().put("reason", refusal));
    }
  }

  /** Carries out a start that was left unanswered. */
  public synchronized void startLate(JsonNode order) {
    String refusal = tryStart(order.path("task").asText(), order.path("run").asInt(), order);
    trace.log(
        "runner %s born=%d carries out late: run-start task=%s run=%s result=%s",
        id, born, order.path("task").asText(), order.path("run"),
        refusal.isEmpty() ? "started" : refusal);
  }

  private String tryStart(String task, int number, JsonNode body) {
    long now = clock();
    if (body.path("fence").asLong() < fence) {
      return "fence";
    }
    fence = body.path("fence").asLong();
    long newUntil = Math.min(body.path("until_ms").asLong(), now + MAX_LEASE_MILLIS);
    if (newUntil < now) {
      return "late";
    }
    until = Math.max(until, newUntil);
    Run present = running.get(task);
    if (present != null && present.run == number) {
      return "";
    }
    if (present != null || number <= highestEndedRun.getOrDefault(task, 0)) {
      return "old";
    }
    Run run = new Run(task, number, body.path("spec").asText(), now);
    if (usedCpu() + run.cpu > capacityCpu) {
      return "room";
    }
    running.put(task, run);
    begun.add(task);
    listener.started(this, task, number);
    return "";
  }

  private void stop(HttpExchange exchange, JsonNode body) throws IOException {
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    String refusal = "";
    synchronized (this) {
      if (body.path("fence").asLong() < fence) {
        refusal = "fence";
      } else {
        fence = body.path("fence").asLong();
        highestEndedRun.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.run <= number) {
          run.stopAt = Math.min(run.stopAt, clock() + STOP_MILLIS);
        }
      }
    }
    trace.log(
        "runner %s order run-stop task=%s run=%d answer=%s",
        id, task, number, refusal.isEmpty() ? "200" : refusal);
    if (refusal.isEmpty()) {
      Http.answer(exchange, 200, said());
    } else {
      Http.answer(exchange, 409, said().put("reason", refusal));
    }
  }

  private void hold(HttpExchange exchange, JsonNode body) throws IOException {
    ObjectNode said;
    synchronized (this) {
      if (body.path("fence").asLong() < fence) {
        said = said().put("reason", "fence");
      } else {
        fence = body.path("fence").asLong();
        long now = clock();
        until = Math.max(until, Math.min(body.path("until_ms").asLong(0), now + MAX_LEASE_MILLIS));
        forget(body.path("last_seen").asLong());
        await(now + Math.min(2_000, body.path("wait_ms").asLong(0)));
        said = report();
      }
    }
    if (holdAnswersToLose > 0) {
      holdAnswersToLose--;
      trace.log("runner %s answer to /hold lost", id);
      exchange.close();
      return;
    }
    Http.answer(exchange, said.has("reason") ? 409 : 200, said);
  }

  private void forget(long lastSeen) {
    for (Iterator<End> i = ended.iterator(); i.hasNext(); ) {
      End end = i.next();
      if (end.number() <= lastSeen) {
        i.remove();
        trace.log(
            "runner %s end-noted task=%s run=%d how=%s", id, end.task(), end.run(), end.how());
        listener.noted(this, end.task(), end.run(), end.how());
      }
    }
  }

  private void await(long untilClock) {
    try {
      for (long left = untilClock - clock();
          left > 0 && ended.isEmpty() && !closed;
          left = untilClock - clock()) {
        wait(left);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private ObjectNode report() {
    ObjectNode said = said();
    long now = clock();
    ArrayNode runningRows = said.putArray("running");
    for (Run run : running.values()) {
      runningRows.addArray().add(run.task).add(run.run).add("").add(run.percent(now)).add(run.cpu);
    }
    ArrayNode endedRows = said.putArray("ended");
    ended.stream()
        .limit(500)
        .forEach(
            e ->
                endedRows.addArray()
                    .add(e.number()).add(e.task()).add(e.run()).add(e.how()).add(""));
    return said;
  }
}
