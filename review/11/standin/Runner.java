import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * One life of a runner: takes orders by calls, holds leases, checks in and lists its runs and ends.
 *
 * <p>A work unit's spec says how it behaves: {@code work=MS}, after which it ends {@code done}, or
 * {@code fail=MS}, after which it ends {@code failed}. A work unit that lasts is at work after a
 * startup of 500 ms.
 */
final class Runner {

  static final long HEARTBEAT_MILLIS = 1_500;
  private static final long HOLD_MAX_MILLIS = 6_000;
  private static final long STARTUP_MILLIS = 500;
  private static final long CHECK_IN_TIMEOUT_MILLIS = 1_000;
  private static final long MIN_BACKOFF_MILLIS = 100;
  private static final long CALL_PAUSE_MILLIS = 10;

  /** One run of a work unit, for the check and the record. */
  static final class Run {
    final String task;
    final int number;
    final String spec;
    final Runner runner;
    final long startMillis = Trace.now();
    long endMillis = -1;
    String how = "";

    Run(String task, int number, String spec, Runner runner) {
      this.task = task;
      this.number = number;
      this.spec = spec;
      this.runner = runner;
    }

    boolean lasts() {
      return spec.equals("lasts");
    }

    boolean isAtWork() {
      return endMillis < 0 && Trace.now() - startMillis >= STARTUP_MILLIS;
    }

    private long workMillis() {
      return lasts() ? Long.MAX_VALUE : Long.parseLong(spec.substring(spec.indexOf('=') + 1));
    }

    private long percent() {
      long ran = Trace.now() - startMillis;
      if (lasts()) {
        return ran >= STARTUP_MILLIS ? 100 : 0;
      }
      return Math.min(99, 100 * ran / Math.max(1, workMillis()));
    }
  }

  /** What a runner does with an order to start. */
  interface StartPolicy {
    /** Returns whether it handled the order itself. */
    boolean handle(Runner runner, HttpExchange exchange, Map<String, Object> order)
        throws IOException;
  }

  final String id;
  final String machine;
  final String service;
  final String address;
  final long bornMillis = System.currentTimeMillis();
  private final long bornNanos = System.nanoTime();
  private final Trace trace;
  private final List<Run> allRuns;
  private final List<String> controlAddresses;
  private final List<String> labels;
  private final long cpu;
  private final HttpServer server;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final List<List<Object>> ended = new ArrayList<>();
  private final Map<String, Integer> highestEnded = new LinkedHashMap<>();
  private final Map<String, Long> cpuByTask = new LinkedHashMap<>();
  private long nextEnd = 1;
  private long lastSeen;
  private long fence;
  private long untilMillis;
  private long sequence;
  private volatile boolean gone;
  private volatile StartPolicy startPolicy;
  private volatile long holdAtMillis;

  Runner(
      String id,
      String machine,
      String service,
      String address,
      List<String> labels,
      long cpu,
      List<String> controlAddresses,
      Trace trace,
      List<Run> allRuns)
      throws IOException {
    this.id = id;
    this.machine = machine;
    this.service = service;
    this.address = address;
    this.labels = labels;
    this.cpu = cpu;
    this.controlAddresses = controlAddresses;
    this.trace = trace;
    this.allRuns = allRuns;
    int colon = address.indexOf(':');
    this.server =
        Http.serve(
            address.substring(0, colon),
            Integer.parseInt(address.substring(colon + 1)),
            this::handle);
    Http.run(this::work);
    Http.run(this::checkIn);
  }

  void setStartPolicy(StartPolicy policy) {
    startPolicy = policy;
  }

  long clockMillis() {
    return (System.nanoTime() - bornNanos) / 1_000_000;
  }

  synchronized List<Run> runs() {
    return List.copyOf(running.values());
  }

  /** Ends the life: everything that runs here terminates, and nothing answers any more. */
  void end(String why) {
    synchronized (this) {
      gone = true;
      for (Run run : List.copyOf(running.values())) {
        finish(run, why);
      }
      notifyAll();
    }
    server.stop(0);
    trace.log("runner %s of %s has ended: %s", id, machine, why);
  }

  /** Returns how long ago the latest call to hold arrived, which may still wait. */
  long holdAgeMillis() {
    return Trace.now() - holdAtMillis;
  }

  boolean isGone() {
    return gone;
  }

  private void finish(Run run, String how) {
    run.endMillis = Trace.now();
    run.how = how;
    running.remove(run.task);
    highestEnded.merge(run.task, run.number, Math::max);
    trace.log("run %s/%d on %s ended: %s", run.task, run.number, id, how);
  }

  private void finishAndList(Run run, String how) {
    finish(run, how);
    ended.add(List.of(nextEnd++, run.task, run.number, how, ""));
    notifyAll();
  }

  /** Ends work that is done, and what has no lease any more. */
  private void work() {
    while (!gone) {
      synchronized (this) {
        boolean lapsed = clockMillis() > untilMillis;
        for (Run run : List.copyOf(running.values())) {
          if (lapsed) {
            finishAndList(run, "lapsed");
          } else if (Trace.now() - run.startMillis >= run.workMillis()) {
            finishAndList(run, run.spec.startsWith("fail=") ? "failed" : "done");
          }
        }
      }
      Http.sleep(CALL_PAUSE_MILLIS);
    }
  }

  /**
   * Checks in about every heartbeat; what isn't acknowledged goes to another node,
   * after a pause that doubles with each failure.
   */
  private void checkIn() {
    Http.sleep(ThreadLocalRandom.current().nextLong(HEARTBEAT_MILLIS));
    long backoffMillis = MIN_BACKOFF_MILLIS;
    String node = pickNode("");
    while (!gone) {
      Http.Answer answer =
          Http.call(
              "PUT", node, "/instances/" + id, Json.write(report()), CHECK_IN_TIMEOUT_MILLIS);
      if (answer.status() / 100 == 2) {
        String named = Json.string(Json.object(answer.body()), "heartbeat_address");
        node = named.isEmpty() ? node : named;
        backoffMillis = MIN_BACKOFF_MILLIS;
        Http.sleep(HEARTBEAT_MILLIS);
      } else {
        node = pickNode(node);
        Http.sleep(backoffMillis);
        backoffMillis = Math.min(HEARTBEAT_MILLIS, 2 * backoffMillis);
      }
    }
  }

  private String pickNode(String except) {
    List<String> others = new ArrayList<>(controlAddresses);
    others.remove(except);
    return others.get(ThreadLocalRandom.current().nextInt(others.size()));
  }

  private synchronized Map<String, Object> report() {
    return Json.map(
        "service", service,
        "address", address,
        "zone", "howrah",
        "version", "v1",
        "slots", 8,
        "state", "ready",
        "cold_remaining_ms", 0,
        "capacity", Json.map("cpu", cpu, "mem_mb", 32_768, "gpu", 0),
        "labels", labels,
        "machine", machine,
        "clock_ms", clockMillis(),
        "born", bornMillis,
        "seq", ++sequence);
  }

  private void handle(HttpExchange exchange) throws IOException {
    String body = Http.body(exchange);
    if (gone) {
      exchange.close();
      return;
    }
    String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      Http.answer(exchange, 421, Json.map("clock_ms", clockMillis()));
      return;
    }
    Map<String, Object> order = Json.object(body);
    switch (exchange.getRequestURI().getPath()) {
      case "/run-start" -> {
        StartPolicy policy = startPolicy;
        if (policy == null || !policy.handle(this, exchange, order)) {
          answer(exchange, start(order));
        }
      }
      case "/run-stop" -> answer(exchange, stop(order));
      case "/hold" -> answer(exchange, hold(order));
      case "/pace" -> answer(exchange, "");
      default -> Http.answer(exchange, 404, Json.map());
    }
  }

  private void answer(HttpExchange exchange, String refusal) throws IOException {
    if (refusal == null) {
      exchange.close();
    } else if (refusal.isEmpty()) {
      Http.answer(exchange, 200, Json.map("clock_ms", clockMillis(), "born", bornMillis));
    } else if (refusal.startsWith("{")) {
      Http.answer(exchange, 200, Json.object(refusal));
    } else {
      Http.answer(
          exchange, 409, Json.map("clock_ms", clockMillis(), "born", bornMillis, "reason", refusal));
    }
  }

  private boolean isFenced(Map<String, Object> order) {
    long given = Json.number(order, "fence", 0);
    if (given < fence) {
      return true;
    }
    fence = given;
    return false;
  }

  private void extend(Map<String, Object> order) {
    long until = Math.min(Json.number(order, "until_ms", 0), clockMillis() + HOLD_MAX_MILLIS);
    untilMillis = Math.max(untilMillis, until);
  }

  /** Carries out an order to start; returns the reason of a refusal, or an empty text. */
  synchronized String start(Map<String, Object> order) {
    String task = Json.string(order, "task");
    int number = (int) Json.number(order, "run", 0);
    String spec = Json.string(order, "spec");
    if (gone) {
      return null;
    }
    if (isFenced(order)) {
      return "fence";
    }
    if (Json.number(order, "until_ms", 0) <= clockMillis()) {
      return "late";
    }
    extend(order);
    Run there = running.get(task);
    if (there != null && there.number == number) {
      return "";
    }
    if (number <= highestEnded.getOrDefault(task, 0) || there != null) {
      return "old";
    }
    Run run = new Run(task, number, spec, this);
    running.put(task, run);
    synchronized (allRuns) {
      allRuns.add(run);
    }
    trace.log("run %s/%d started on %s, fence %d", task, number, id, fence);
    return "";
  }

  private synchronized String stop(Map<String, Object> order) {
    if (isFenced(order)) {
      return "fence";
    }
    String task = Json.string(order, "task");
    int number = (int) Json.number(order, "run", 0);
    trace.log("stop of %s/%d arrives at %s", task, number, id);
    Run there = running.get(task);
    highestEnded.merge(task, number, Math::max);
    if (there != null && there.number <= number) {
      finishAndList(there, "stopped");
    }
    return "";
  }

  private synchronized String hold(Map<String, Object> order) {
    if (isFenced(order)) {
      return "fence";
    }
    extend(order);
    holdAtMillis = Trace.now();
    lastSeen = Math.max(lastSeen, Json.number(order, "last_seen", 0));
    ended.removeIf(end -> (Long) end.get(0) <= lastSeen);
    long deadline = Trace.now() + Json.number(order, "wait_ms", 0);
    while (ended.isEmpty() && !gone && Trace.now() < deadline) {
      try {
        wait(Math.max(1, deadline - Trace.now()));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return null;
      }
    }
    if (gone) {
      return null;
    }
    List<Object> rows = new ArrayList<>();
    for (Run run : running.values()) {
      rows.add(List.of(run.task, run.number, "", run.percent(), 10));
    }
    return Json.write(
        Json.map(
            "clock_ms", clockMillis(),
            "born", bornMillis,
            "running", rows,
            "ended", ended.subList(0, Math.min(500, ended.size()))));
  }
}
