import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment of the system as separate processes, each on a loopback address of its own,
 * started with the commands of the deploy file.
 */
final class Site implements AutoCloseable {

  private static final int CORE_MACHINES = 5;
  private static final int FRONT_MACHINES = 2;

  /** A process of the system; it keeps its address and its data folder over restarts. */
  final class Node {
    final String name;
    final String host;
    final boolean controller;
    final Path settings;
    Process process;
    int starts;
    int endsByItself;

    Node(String name, String host, boolean controller) {
      this.name = name;
      this.host = host;
      this.controller = controller;
      this.settings = folder.resolve(name + ".ini");
    }

    String control() {
      return host + ":" + controlPort;
    }

    String front() {
      return host + ":" + frontPort;
    }

    void start() throws IOException {
      synchronized (Site.this) {
        startUnlessClosed();
      }
    }

    /** Starts the process, unless the script ends, which ends all processes. */
    private void startUnlessClosed() throws IOException {
      if (closed) {
        throw new IOException("the script ends");
      }
      Files.writeString(settings, settingsText(this, starts++ == 0));
      List<String> command = command(controller ? "controller" : "gateway", settings);
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()))
              .start();
      trace.add("process %s starts, pid %d", name, process.pid());
    }

    void signal(String signal) throws IOException, InterruptedException {
      trace.add("signal %s to %s", signal, name);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean logHas(String text) throws IOException {
      Path log = folder.resolve(name + ".log");
      return Files.exists(log) && Files.readString(log).contains(text);
    }
  }

  final Trace trace;
  final Path folder;
  final List<Node> controllers = new ArrayList<>();
  final List<Node> gateways = new ArrayList<>();
  final List<String> controls = new ArrayList<>();
  final String platformHost;
  final int platformPort;
  final int runnerPort;
  private final String net;
  private final int memberPort;
  private final int controlPort;
  private final int frontPort;
  private final int readyPort;
  private final int metricsPort;
  private boolean closed;

  Site(Trace trace) throws IOException {
    this.trace = trace;
    this.folder = Files.createTempDirectory("plantainknot-case");
    Random random = new Random();
    this.net = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
    this.platformHost = net + 5;
    List<Integer> ports = freePorts(7);
    memberPort = ports.get(0);
    controlPort = ports.get(1);
    frontPort = ports.get(2);
    readyPort = ports.get(3);
    metricsPort = ports.get(4);
    platformPort = ports.get(5);
    runnerPort = ports.get(6);
    for (int i = 1; i <= CORE_MACHINES; i++) {
      Node node = new Node("core-" + i, net + (10 + i), true);
      controllers.add(node);
      controls.add(node.control());
    }
    for (int i = 1; i <= FRONT_MACHINES; i++) {
      gateways.add(new Node("front-" + i, net + (30 + i), false));
    }
  }

  String runnerHost(int number) {
    return net + (50 + number);
  }

  private List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(platformHost));
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  void start() throws IOException {
    for (Node node : controllers) {
      node.start();
    }
    for (Node node : gateways) {
      node.start();
    }
  }

  /** Starts each controller again that has ended by itself, and counts that. */
  void restartEnded() throws IOException {
    for (Node node : controllers) {
      if (node.process != null && !node.process.isAlive()) {
        node.endsByItself++;
        trace.add(
            "process %s has ended by itself, exit status %d, time %d",
            node.name, node.process.exitValue(), node.endsByItself);
        node.start();
      }
    }
  }

  private String settingsText(Node node, boolean firstStart) {
    List<String> seeds = controls.subList(0, 3);
    return String.join(
        "\n",
        "[process]",
        "node = " + node.name,
        "role = " + (node.controller ? "controller" : "gateway"),
        "dataCenter = z1",
        "dataFolder = " + (node.controller ? folder.resolve("data-" + node.name) : ""),
        "bootstrap = " + firstStart,
        "lossesToBear = 2",
        "seeds = " + String.join(", ", seeds),
        "[listen]",
        "host = " + node.host,
        "memberPort = " + memberPort,
        "callers = " + (node.controller ? "" : node.front()),
        "ready = " + (node.controller ? "" : node.host + ":" + readyPort),
        "control = " + (node.controller ? node.control() : ""),
        "metricsPort = " + metricsPort,
        "[platform]",
        "machines = " + platformHost + ":" + platformPort,
        "advice =",
        "[timing]",
        "leaseMillis = 6000",
        "stopRunMillis = 900",
        "officeWaitMillis = 3000",
        "maintenanceMillis = 2s",
        "absenceMillis = 4500",
        "stopMillis = 6s",
        "");
  }

  /** Returns the command of a role in the deploy file, with another settings file. */
  private static List<String> command(String role, Path settings) throws IOException {
    String text = Files.readString(Path.of("deploy/system.toml"));
    String section = text.substring(text.indexOf("[roles." + role + "]"));
    String run = section.substring(section.indexOf("run = \"") + 7);
    run = run.substring(0, run.indexOf('"'));
    List<String> command = new ArrayList<>(List.of(run.split(" ")));
    command.set(command.size() - 1, settings.toString());
    return command;
  }

  /** Waits until the first gateway is ready. */
  void awaitReady(long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    for (Node gateway : gateways) {
      while (System.nanoTime() < end
          && Http.send("GET", gateway.host + ":" + readyPort, "/ready", null, 500).status() != 200) {
        Runner.sleep(100);
      }
    }
    trace.add("gateways ready");
  }

  /** Sends a call of the operator until it is answered with 200; returns the last status. */
  int operate(String method, String path, String body, long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    long pause = 100;
    int status = 0;
    for (int i = 0; System.nanoTime() < end; i++) {
      String address = controls.get(i % controls.size());
      status = Http.send(method, address, path, body, timeoutMillis(body)).status();
      trace.add("operator %s %s at %s: %d", method, path, address, status);
      if (status == 200 || status == 400) {
        return status;
      }
      Runner.sleep(pause);
      pause = Math.min(1_000, pause * 2);
    }
    return status;
  }

  /** Clients wait a second for a response, and longer if the body is large. */
  private static long timeoutMillis(String body) {
    return body != null && body.length() > 100_000 ? 2_000 : 1_000;
  }

  /** Sends a call of a client to a gateway. */
  Http.Response call(Node gateway, String method, String path, String body, long timeoutMillis) {
    Http.Response response =
        Http.send(
            method,
            gateway.front(),
            path,
            body,
            timeoutMillis,
            "Host",
            "jobs.example",
            "X-Deadline-Ms",
            Long.toString(timeoutMillis));
    trace.add(
        "client %s %s at %s: %d %s",
        method, path, gateway.name, response.status(), response.body());
    return response;
  }

  /** Keeps the logs of the processes if a folder for them is named. */
  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    for (Node node : allNodes()) {
      if (node.process != null) {
        node.process.destroyForcibly();
        try {
          node.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    String keep = System.getenv("KEEP_LOGS");
    if (keep == null) {
      delete(folder);
    } else {
      System.out.println("logs in " + folder);
    }
  }

  private List<Node> allNodes() {
    List<Node> nodes = new ArrayList<>(controllers);
    nodes.addAll(gateways);
    return nodes;
  }

  private static void delete(Path folder) {
    try (Stream<Path> paths = Files.walk(folder)) {
      paths.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      System.out.println("can't delete " + folder + ": " + e.getMessage());
    }
  }
}
