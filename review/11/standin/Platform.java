import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** The infrastructure's service of machines: lists them, moves them and does their upkeep. */
final class Platform implements AutoCloseable {

  private static final long UPKEEP_MILLIS = 2_000;
  private static final long MOVE_MILLIS = 1_500;

  /** A machine with the runner that is its present life. */
  static final class Machine {
    final String name;
    final String rack;
    final String kind;
    final String address;
    final long cpu;
    String pool;
    String state = "up";
    Runner runner;
    int lives;
    long wave;

    Machine(String name, String pool, String rack, String kind, String address, long cpu) {
      this.name = name;
      this.pool = pool;
      this.rack = rack;
      this.kind = kind;
      this.address = address;
      this.cpu = cpu;
    }
  }

  final List<Runner.Run> runs = new ArrayList<>();
  private final Trace trace;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final HttpServer server;
  private List<String> controlAddresses = List.of();
  private volatile boolean fixedPools;

  /** Called with the machine and the word of the order just before an order ends its work. */
  private BiConsumer<Machine, String> onOrder = (machine, order) -> {};

  Platform(Trace trace, String host, int port) throws IOException {
    this.trace = trace;
    this.server = Http.serve(host, port, this::handle);
  }

  void setControlAddresses(List<String> addresses) {
    controlAddresses = addresses;
  }

  /** Makes all pools those of other machines, so that each move is answered with 400. */
  void setFixedPools(boolean fixed) {
    fixedPools = fixed;
  }

  void setOnOrder(BiConsumer<Machine, String> listener) {
    onOrder = listener;
  }

  synchronized Machine add(Machine machine) throws IOException {
    machines.put(machine.name, machine);
    startRunner(machine, "i-" + machine.name + "-" + ++machine.lives);
    return machine;
  }

  synchronized List<Machine> machines() {
    return List.copyOf(machines.values());
  }

  /** Starts the next life of a machine's runner, under the given id. */
  synchronized Runner startRunner(Machine machine, String id) throws IOException {
    machine.runner =
        new Runner(
            id,
            machine.name,
            machine.pool,
            machine.address,
            List.of(machine.kind, machine.rack),
            machine.cpu,
            controlAddresses,
            trace,
            runs);
    return machine.runner;
  }

  List<Runner.Run> allRuns() {
    synchronized (runs) {
      return List.copyOf(runs);
    }
  }

  private void handle(HttpExchange exchange) throws IOException {
    String body = Http.body(exchange);
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/machines")) {
      Http.answer(exchange, 200, list());
      return;
    }
    Map<String, Object> order = Json.object(body);
    String holder = exchange.getRequestHeaders().getFirst("X-Duty-Holder");
    String token = exchange.getRequestHeaders().getFirst("X-Fencing-Token");
    String answer = order(path, order);
    trace.log("%s %s by %s, fence %s: %s", path, body, holder, token, answer);
    if (answer.equals("none")) {
      Http.answer(exchange, 400, Json.map());
    } else if (answer.isEmpty()) {
      Http.answer(exchange, 200, Json.map());
    } else {
      Http.answer(exchange, 409, Json.map("reason", answer));
    }
  }

  private synchronized Map<String, Object> list() {
    List<Object> rows = new ArrayList<>();
    for (Machine machine : machines.values()) {
      rows.add(
          Json.map(
              "machine", machine.name,
              "pool", machine.pool,
              "state", machine.state,
              "zone", "howrah",
              "labels", List.of(machine.kind, machine.rack),
              "capacity", Json.map("cpu", machine.cpu, "mem_mb", 32_768, "gpu", 0),
              "id", machine.runner.id));
    }
    return Json.map("machines", rows, "next_token", "");
  }

  private String order(String path, Map<String, Object> order) {
    Machine machine;
    long downMillis;
    synchronized (this) {
      machine = machines.get(Json.string(order, "machine"));
      if (machine == null) {
        return "none";
      }
      boolean upkeep = path.equals("/machine-upkeep");
      long wave = Json.number(order, "wave", 0);
      String pool = Json.string(order, "pool");
      if (upkeep ? machine.wave == wave : machine.pool.equals(pool)) {
        return "";
      }
      if (!upkeep && fixedPools) {
        return "none";
      }
      if (!machine.state.equals("up")) {
        return "busy";
      }
      onOrder.accept(machine, upkeep ? "upkeep" : "move");
      machine.state = upkeep ? "upkeep" : "moving";
      if (upkeep) {
        machine.wave = wave;
      } else {
        machine.pool = pool;
      }
      downMillis = upkeep ? UPKEEP_MILLIS : MOVE_MILLIS;
      machine.runner.end(path.substring(1));
    }
    Http.run(() -> comeBack(machine, downMillis));
    return "";
  }

  private void comeBack(Machine machine, long downMillis) {
    Http.sleep(downMillis);
    try {
      synchronized (this) {
        machine.state = "up";
        startRunner(machine, "i-" + machine.name + "-" + ++machine.lives);
      }
    } catch (IOException e) {
      trace.log("machine %s can't come back: %s", machine.name, e);
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
