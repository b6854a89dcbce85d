import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The project's processes of a small deployment, started with the commands of the deploy file and
 * with the settings of its template: each node has a loopback address of its own.
 */
final class Deployment implements AutoCloseable {

  private static final int FIRST_PORT = 21_000;
  private static final int LAST_PORT = 29_000;
  private static final Map<String, String> BOUNDS =
      Map.of(
          "hold_max_ms", "6000",
          "stop_ms", "900",
          "lease_ms", "3000",
          "maintenance_s", "2",
          "notice_ms", "4500",
          "grace_s", "6");

  private final Path folder;
  private final Path root = Path.of("").toAbsolutePath();
  private final Trace trace;
  private final List<String> controllers;
  private final List<String> gateways;
  private final String machinesAddress;
  private final Map<String, Process> processes = new ConcurrentHashMap<>();
  private final int port;
  private final String subnet;

  Deployment(Trace trace, int controllers, int gateways, int port, String machinesAddress)
      throws IOException {
    this.trace = trace;
    this.port = port;
    this.machinesAddress = machinesAddress;
    this.folder = Files.createTempDirectory("review-");
    this.subnet = "127.40." + (1 + ProcessHandle.current().pid() % 250) + ".";
    this.controllers = IntStream.range(0, controllers).mapToObj(i -> "core-" + i).toList();
    this.gateways = IntStream.range(0, gateways).mapToObj(i -> "front-" + i).toList();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(() -> processes.values().forEach(Process::destroyForcibly)));
  }

  /** Returns the first of ten ports that are free on all loopback addresses. */
  static int freePorts() throws IOException {
    int start = FIRST_PORT + (int) (ProcessHandle.current().pid() * 10 % (LAST_PORT - FIRST_PORT));
    for (int first = start; first < LAST_PORT; first += 10) {
      if (IntStream.range(first, first + 10).allMatch(Deployment::isFree)) {
        return first;
      }
    }
    throw new IOException("no free ports");
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  List<String> controllers() {
    return controllers;
  }

  List<String> controlAddresses() {
    return controllers.stream().map(this::controlAddress).toList();
  }

  String controlAddress(String node) {
    return host(node) + ":" + (port + 1);
  }

  String frontAddress(int number) {
    return host(gateways.get(number % gateways.size())) + ":" + port;
  }

  /** Starts all processes and waits until a leader serves. */
  void start() throws IOException {
    for (String node : controllers) {
      start(node, true);
    }
    for (String node : gateways) {
      start(node, true);
    }
  }

  void start(String node, boolean bootstrap) throws IOException {
    Path settings = folder.resolve(node + ".ini");
    Files.writeString(settings, settings(node, bootstrap));
    List<String> command = new ArrayList<>(command(roleOf(node)));
    command.replaceAll(word -> word.equals("/etc/plantainknot/node.yaml") ? settings + "" : word);
    Path log = folder.resolve(node + ".log");
    Process process =
        new ProcessBuilder(command)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    processes.put(node, process);
    trace.log("process %s started, bootstrap=%s", node, bootstrap);
  }

  boolean isRunning(String node) {
    return processes.get(node).isAlive();
  }

  void kill(String node) {
    trace.log("process %s is killed", node);
    processes.get(node).destroyForcibly();
  }

  void awaitEnd(String node) {
    try {
      processes.get(node).waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a signal such as STOP or CONT. */
  void signal(String node, String name) throws IOException {
    trace.log("process %s gets SIG%s", node, name);
    String pid = Long.toString(processes.get(node).pid());
    try {
      new ProcessBuilder("kill", "-" + name, pid).inheritIO().start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the controller that took office last, according to the log lines of all, or null. */
  String leader() throws IOException {
    String leader = null;
    long highest = -1;
    Pattern taken = Pattern.compile("office-taken term=(\\d+)");
    for (String node : controllers) {
      Path log = folder.resolve(node + ".log");
      if (!Files.exists(log)) {
        continue;
      }
      Matcher matcher = taken.matcher(Files.readString(log));
      while (matcher.find()) {
        long term = Long.parseLong(matcher.group(1));
        if (term > highest) {
          highest = term;
          leader = node;
        }
      }
    }
    return leader;
  }

  /** Copies the lines of the processes' logs that match into the record. */
  void copyLogLines(String regex) throws IOException {
    Pattern pattern = Pattern.compile(regex);
    for (String node : processes.keySet()) {
      try (Stream<String> lines = Files.lines(folder.resolve(node + ".log"))) {
        lines.filter(line -> pattern.matcher(line).find())
            .forEach(line -> trace.log("log of %s: %s", node, line));
      }
    }
  }

  private String settings(String node, boolean bootstrap) throws IOException {
    Map<String, String> values = new LinkedHashMap<>();
    BOUNDS.forEach((name, value) -> values.put("bounds." + name, value));
    values.put("node", node);
    values.put("role", roleOf(node));
    values.put("zone", "howrah");
    values.put("bootstrap", Boolean.toString(bootstrap));
    values.put("tolerate.machines", Integer.toString((controllers.size() - 1) / 2));
    values.put(
        "seeds",
        controllers.stream().limit(3).map(this::controlAddress).collect(Collectors.joining(",")));
    values.put("ip", host(node));
    values.put("port_range.0", Integer.toString(port + 2));
    values.put("cloud.address", machinesAddress);
    if (controllers.contains(node)) {
      values.put("data_dir", folder.resolve(node).toString());
      values.put("listen.control", controlAddress(node));
    } else {
      values.put("listen.front", host(node) + ":" + port);
      values.put("listen.ready", host(node) + ":" + (port + 3));
    }
    String text = Files.readString(root.resolve("deploy/process.ini"));
    text = text.replace("metricsPort = 9464", "metricsPort = " + (port + 4));
    for (Map.Entry<String, String> value : values.entrySet()) {
      text = text.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    return text.replaceAll("\\{\\{[^}]*\\}\\}", "");
  }

  private List<String> command(String role) throws IOException {
    String toml = Files.readString(root.resolve("deploy/system.toml"));
    Matcher matcher =
        Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(toml);
    if (!matcher.find()) {
      throw new IOException("deploy/system.toml has no role " + role);
    }
    return List.of(matcher.group(1).split(" "));
  }

  private String roleOf(String node) {
    return controllers.contains(node) ? "controller" : "gateway";
  }

  private String host(String node) {
    int number =
        controllers.contains(node) ? 1 + controllers.indexOf(node) : 101 + gateways.indexOf(node);
    return subnet + number;
  }

  @Override
  public void close() throws IOException {
    for (Process process : processes.values()) {
      process.destroyForcibly();
    }
    processes.keySet().forEach(this::awaitEnd);
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println("logs are in " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
