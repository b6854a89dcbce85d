import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Platform that lists machines, moves them and carries out their upkeep. */
final class Platform {

  private static final long MOVE_MILLIS = 1_500;
  private static final long UPKEEP_MILLIS = 2_000;

  private static final class Machine {
    final String name;
    final String host;
    final Set<Long> waves = new HashSet<>();
    String pool;
    String state;
    Runner runner;

    Machine(String name, String host, String pool) {
      this.name = name;
      this.host = host;
      this.pool = pool;
    }
  }

  final String address;
  private final Map<String, Machine> machines = new TreeMap<>();
  private final String sparePool;
  private final int runnerPort;
  private final int cpu;
  private final List<String> controls;
  private final Trace trace;
  private final Runner.Observer observer;
  private final HttpServer server;
  private volatile String extraEntry = "";

  Platform(
      String host,
      int port,
      int runnerPort,
      String sparePool,
      int cpu,
      List<String> controls,
      Trace trace,
      Runner.Observer observer)
      throws IOException {
    this.address = host + ":" + port;
    this.runnerPort = runnerPort;
    this.sparePool = sparePool;
    this.cpu = cpu;
    this.controls = controls;
    this.trace = trace;
    this.observer = observer;
    this.server = Http.serve(host, port, this::handle);
  }

  /** Adds a machine to a pool; machines of the spare pool are off. */
  synchronized void addMachine(String name, String host, String pool) throws IOException {
    Machine machine = new Machine(name, host, pool);
    machines.put(name, machine);
    boot(machine);
  }

  /** Adds an entry, as JSON text, that another writer has put into the list of machines. */
  void setExtraEntry(String json) {
    extraEntry = json;
  }

  synchronized Runner runnerOf(String machine) {
    return machines.get(machine).runner;
  }

  synchronized void close() {
    server.stop(0);
    for (Machine machine : machines.values()) {
      if (machine.runner != null) {
        machine.runner.terminate("end of the script");
      }
    }
  }

  private void boot(Machine machine) throws IOException {
    machine.state = machine.pool.equals(sparePool) ? "down" : "up";
    machine.runner =
        machine.pool.equals(sparePool)
            ? null
            : new Runner(
                machine.name, machine.pool, machine.host, runnerPort, cpu, controls, trace, observer);
  }

  private void handle(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    if (path.equals("/machines")) {
      Http.reply(exchange, 200, list());
      return;
    }
    JsonNode body = Http.readJson(exchange);
    String holder = exchange.getRequestHeaders().getFirst("X-Duty-Holder");
    String token = exchange.getRequestHeaders().getFirst("X-Fencing-Token");
    int status = order(path, body);
    trace.add("%s %s holder=%s token=%s: %d", path, body, holder, token, status);
    Http.reply(exchange, status, status == 409 ? "{\"reason\":\"busy\"}" : "{}");
  }

  private synchronized String list() {
    ObjectNode json = Http.JSON.createObjectNode();
    ArrayNode rows = json.putArray("machines");
    for (Machine machine : machines.values()) {
      ObjectNode row = rows.addObject();
      row.put("machine", machine.name).put("pool", machine.pool).put("state", machine.state);
      row.put("zone", "z1").putArray("labels").add("a").add("r1-1");
      row.putObject("capacity").put("cpu", cpu).put("mem_mb", 32_768).put("gpu", 0);
      row.put("id", machine.runner == null ? "" : machine.runner.id);
    }
    String text = json.toString();
    return extraEntry.isEmpty()
        ? text
        : text.replace("{\"machines\":[", "{\"machines\":[" + extraEntry + ",");
  }

  private synchronized int order(String path, JsonNode body) {
    Machine machine = machines.get(body.path("machine").asText());
    if (machine == null) {
      return 400;
    }
    boolean upkeep = path.equals("/machine-upkeep");
    boolean alreadyDone =
        upkeep
            ? machine.waves.contains(body.path("wave").asLong())
            : machine.pool.equals(body.path("pool").asText());
    if (alreadyDone) {
      return 200;
    }
    if (!machine.state.equals("up") && !machine.state.equals("down")) {
      return 409;
    }
    if (upkeep) {
      machine.waves.add(body.path("wave").asLong());
    } else {
      machine.pool = body.path("pool").asText();
    }
    machine.state = upkeep ? "upkeep" : "moving";
    Runner old = machine.runner;
    machine.runner = null;
    if (old != null) {
      old.terminate(upkeep ? "upkeep" : "move");
    }
    Thread thread = new Thread(() -> bootLater(machine, upkeep ? UPKEEP_MILLIS : MOVE_MILLIS));
    thread.setDaemon(true);
    thread.start();
    return 200;
  }

  private void bootLater(Machine machine, long millis) {
    Runner.sleep(millis);
    synchronized (this) {
      try {
        boot(machine);
      } catch (IOException e) {
        trace.add("machine %s doesn't boot: %s", machine.name, e);
      }
    }
  }
}
