package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The platform's machine service. It answers a move to a pool of other machines with 400, as
 * PROTOCOL.md says; a pool takes machines of the kind that it has. No machine is moved otherwise:
 * each other move is answered as busy.
 */
public final class Platform implements AutoCloseable {

  /** Carries out an upkeep: everything on the machine ends, and a new runner joins after it. */
  public interface Upkeep {
    void begin(String machine);
  }

  /** Notified of each order before it is carried out. */
  public interface OrderListener {
    void ordered(String machine, String holder, long token);
  }

  /** A machine with the runner on it. */
  public record Machine(String name, String pool, String kind, String runner) {}

  private final Trace trace;
  private final Map<String, Machine> machines = new TreeMap<>();
  private final HttpServer server;
  private final Map<String, Set<Integer>> wavesDone = new TreeMap<>();
  private final Set<String> inUpkeep = new TreeSet<>();
  private Upkeep upkeep;
  private volatile OrderListener orderListener = (machine, holder, token) -> {};
  private volatile long answerMillis;
  private int refusedMoves;

  public Platform(Trace trace, String address) throws IOException {
    this.trace = trace;
    String[] parts = address.split(":");
    this.server = Http.serve(parts[0], Integer.parseInt(parts[1]), this::handle);
  }

  public synchronized void add(Machine machine) {
    machines.put(machine.name(), machine);
  }

  /** Sets who is notified of each order, and the time that an answer to an order takes. */
  public void onOrder(OrderListener listener, long millis) {
    orderListener = listener;
    answerMillis = millis;
  }

  /** Sets what carries upkeeps out; without it each is answered with 400. */
  public synchronized void onUpkeep(Upkeep carriedOutBy) {
    upkeep = carriedOutBy;
  }

  /** Ends the upkeep of a machine, on which a new runner starts. */
  public synchronized void upkeepDone(Machine machine) {
    inUpkeep.remove(machine.name());
    machines.put(machine.name(), machine);
  }

  /** Returns the number of moves that were answered with 400. */
  public synchronized int refusedMoves() {
    return refusedMoves;
  }

  private void handle(HttpExchange exchange, JsonNode body) throws IOException {
    String holder = exchange.getRequestHeaders().getFirst("X-Duty-Holder");
    if (holder != null) {
      long token = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token"));
      orderListener.ordered(body.path("machine").asText(), holder, token);
    }
    Answer answer = decide(exchange, body);
    trace.log(
        "platform %s %s holder=%s token=%s answer=%d %s",
        exchange.getRequestURI().getPath(),
        holder == null ? "" : body,
        holder,
        exchange.getRequestHeaders().getFirst("X-Fencing-Token"),
        answer.status(),
        answer.note());
    if (holder != null) {
      sleep(answerMillis);
    }
    Http.answer(exchange, answer.status(), answer.body());
  }

  private record Answer(int status, JsonNode body, String note) {}

  private synchronized Answer decide(HttpExchange exchange, JsonNode body) {
    String path = exchange.getRequestURI().getPath();
    Machine machine = machines.get(body.path("machine").asText(""));
    if (path.equals("/machines")) {
      return new Answer(200, list(), "");
    } else if (machine == null) {
      return new Answer(400, null, "no such machine");
    } else if (path.equals("/machine-move")) {
      return move(machine, body.path("pool").asText());
    } else if (path.equals("/machine-upkeep") && upkeep != null) {
      return upkeep(machine, body.path("wave").asInt());
    }
    return new Answer(400, null, "");
  }

  private Answer move(Machine machine, String pool) {
    boolean sameKind =
        machines.values().stream()
            .anyMatch(m -> m.pool().equals(pool) && m.kind().equals(machine.kind()));
    if (sameKind) {
      return new Answer(409, Http.JSON.createObjectNode().put("reason", "busy"), "busy");
    }
    refusedMoves++;
    return new Answer(400, null, "a pool of other machines");
  }

  private Answer upkeep(Machine machine, int wave) {
    boolean first =
        wavesDone.computeIfAbsent(machine.name(), n -> new TreeSet<>()).add(wave);
    if (first) {
      inUpkeep.add(machine.name());
      upkeep.begin(machine.name());
    }
    return new Answer(200, null, first ? "begins" : "already done");
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String state(Machine machine) {
    return inUpkeep.contains(machine.name()) ? "upkeep" : "up";
  }

  private ObjectNode list() {
    ObjectNode json = Http.JSON.createObjectNode();
    ArrayNode list = json.putArray("machines");
    for (Machine machine : machines.values()) {
      ObjectNode entry = list.addObject();
      entry.put("machine", machine.name()).put("pool", machine.pool()).put("state", state(machine));
      entry.put("zone", "zone-a").put("id", machine.runner());
      entry.putArray("labels").add(machine.kind()).add("r1-1");
      entry.putObject("capacity").put("cpu", 16_000).put("mem_mb", 32_768).put("gpu", 0);
    }
    json.put("next_token", "");
    return json;
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
