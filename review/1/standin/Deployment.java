package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Starts the processes of a small deployment with the commands of {@code deploy/system.toml} and
 * settings made from {@code deploy/process.ini}: three controllers and two gateways, each on its own
 * loopback address.
 */
final class Deployment implements AutoCloseable {

  static final int CONTROLLERS = 3;
  static final int GATEWAYS = 2;

  private static final int CONTROL_PORT = 8623;
  private static final int CALLER_PORT = 8624;
  private static final int READY_PORT = 8622;
  private static final int MEMBER_PORT = 7060;
  private static final int METRICS_PORT = 9464;
  private static final int PLATFORM_PORT = 8621;

  /** Delay after which the platform restarts a process that ended by itself. */
  private static final long RESTART_DELAY_MILLIS = 500;

  private static final Pattern OFFICE_TAKEN = Pattern.compile("office-taken term=(\\d+)");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z0-9_.]+)}}");

  private final Path root;
  private final Path folder;
  private final Recorder recorder;
  private final String network;
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final Map<String, Integer> ownEnds = new LinkedHashMap<>();
  private final Map<String, String> commands = new LinkedHashMap<>();
  private volatile boolean closing;

  Deployment(Path root, Recorder recorder) throws IOException {
    this.root = root;
    this.folder = Files.createTempDirectory("plantainknot-review");
    this.recorder = recorder;
    this.network = freeNetwork();
    String role = "";
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("[roles.")) {
        role = line.substring("[roles.".length(), line.length() - 1);
      } else if (line.startsWith("run = ")) {
        commands.put(role, line.substring("run = \"".length(), line.length() - 1));
      }
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Returns a loopback address of this deployment. */
  String host(int number) {
    return network + "." + number;
  }

  static List<String> controllers() {
    return names("c", CONTROLLERS);
  }

  static List<String> gateways() {
    return names("g", GATEWAYS);
  }

  private static List<String> names(String prefix, int count) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      names.add(prefix + i);
    }
    return names;
  }

  String hostOf(String node) {
    int number = Integer.parseInt(node.substring(1));
    return host(node.startsWith("c") ? 11 + number : 21 + number);
  }

  String controlAddress(String controller) {
    return hostOf(controller) + ":" + CONTROL_PORT;
  }

  String callerAddress(String gateway) {
    return hostOf(gateway) + ":" + CALLER_PORT;
  }

  String platformAddress() {
    return host(100) + ":" + PLATFORM_PORT;
  }

  String adviceAddress() {
    return host(101) + ":" + PLATFORM_PORT;
  }

  void startAll() throws IOException {
    for (String node : controllers()) {
      start(node, true);
    }
    for (String node : gateways()) {
      start(node, true);
    }
  }

  synchronized void start(String node, boolean bootstrap) throws IOException {
    if (closing) {
      return;
    }
    boolean controller = node.startsWith("c");
    Path settings = folder.resolve(node + ".ini");
    Files.writeString(settings, settings(node, controller, bootstrap));
    List<String> command = new ArrayList<>();
    for (String word : commands.get(controller ? "controller" : "gateway").split(" ")) {
      command.add(word.equals("/etc/plantainknot/node.yaml") ? settings.toString() : word);
    }
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("PLANTAINKNOT_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(node + ".log").toFile()));
    Process process = builder.start();
    processes.put(node, process);
    recorder.event("process", "start " + node);
    process.onExit().thenAccept(ended -> onExit(node, ended));
  }

  /** Restarts a process that ended by itself, as the platform does. */
  private void onExit(String node, Process ended) {
    synchronized (this) {
      if (closing || processes.get(node) != ended) {
        return;
      }
      ownEnds.merge(node, 1, Integer::sum);
    }
    recorder.event("process", node + " ended by itself, exit code " + ended.exitValue());
    try {
      Thread.sleep(RESTART_DELAY_MILLIS);
      start(node, false);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      recorder.event("process", node + " can't be restarted: " + e);
    }
  }

  /** Returns how often each process ended by itself. */
  synchronized Map<String, Integer> ownEnds() {
    return new LinkedHashMap<>(ownEnds);
  }

  /** Returns the controller that was elected last, according to the logs. */
  String leader() {
    String leader = "";
    long highestTerm = -1;
    for (String node : controllers()) {
      Matcher matcher = OFFICE_TAKEN.matcher(log(node));
      while (matcher.find()) {
        long term = Long.parseLong(matcher.group(1));
        if (term > highestTerm) {
          highestTerm = term;
          leader = node;
        }
      }
    }
    return leader;
  }

  /** Kills a process and starts it again after a pause. */
  void killAndRestart(String node, long pauseMillis) throws IOException, InterruptedException {
    Process process;
    synchronized (this) {
      process = processes.remove(node);
    }
    recorder.event("process", "kill " + node);
    process.destroyForcibly().waitFor();
    Thread.sleep(pauseMillis);
    start(node, false);
  }

  /** Sends a signal to a process. */
  void signal(String node, String signal) throws IOException, InterruptedException {
    long pid;
    synchronized (this) {
      pid = processes.get(node).pid();
    }
    recorder.event("process", "signal " + signal + " to " + node);
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
  }

  /** Returns the log of a process. */
  String log(String node) {
    try {
      return Files.readString(folder.resolve(node + ".log"));
    } catch (IOException e) {
      return "";
    }
  }

  @Override
  public void close() {
    List<Process> running;
    synchronized (this) {
      if (closing) {
        return;
      }
      closing = true;
      running = List.copyOf(processes.values());
    }
    running.forEach(Process::destroyForcibly);
    try {
      for (Process process : running) {
        process.waitFor(5, TimeUnit.SECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println("logs are kept in " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private String settings(String node, boolean controller, boolean bootstrap) throws IOException {
    List<String> seeds = new ArrayList<>();
    controllers().forEach(seed -> seeds.add(controlAddress(seed)));
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("node", node);
    fields.put("role", controller ? "controller" : "gateway");
    fields.put("zone", "z1");
    fields.put("data_dir", controller ? folder.resolve(node + ".data").toString() : "");
    fields.put("bootstrap", Boolean.toString(bootstrap));
    fields.put("tolerate.machines", "1");
    fields.put("seeds", String.join(",", seeds));
    fields.put("ip", hostOf(node));
    fields.put("port_range.0", Integer.toString(MEMBER_PORT));
    fields.put("listen.front", controller ? "" : callerAddress(node));
    fields.put("listen.ready", controller ? "" : hostOf(node) + ":" + READY_PORT);
    fields.put("listen.control", controller ? controlAddress(node) : "");
    fields.put("cloud.address", platformAddress());
    fields.put("advice", adviceAddress());
    fields.put("bounds.hold_max_ms", Long.toString(Bounds.HOLD_MAX_MILLIS));
    fields.put("bounds.stop_ms", Long.toString(Bounds.STOP_MILLIS));
    fields.put("bounds.lease_ms", "3000");
    fields.put("bounds.maintenance_s", "2");
    fields.put("bounds.notice_ms", "4500");
    fields.put("bounds.grace_s", "6");
    Matcher matcher = PLACEHOLDER.matcher(Files.readString(root.resolve("deploy/process.ini")));
    return matcher.replaceAll(
        match -> {
          String value = fields.get(match.group(1));
          if (value == null) {
            throw new IllegalStateException("no value for " + match.group());
          }
          return Matcher.quoteReplacement(value);
        });
  }

  /** Returns the first three bytes of loopback addresses whose ports are free. */
  private static String freeNetwork() throws IOException {
    Random random = new Random();
    for (int attempt = 0; attempt < 50; attempt++) {
      String candidate = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250));
      if (isFree(candidate)) {
        return candidate;
      }
    }
    throw new IOException("no free ports on the loopback network");
  }

  private static boolean isFree(String candidate) {
    for (int host : new int[] {11, 12, 13, 21, 22, 100, 101}) {
      for (int port :
          new int[] {
            CONTROL_PORT, CALLER_PORT, READY_PORT, MEMBER_PORT, METRICS_PORT, PLATFORM_PORT
          }) {
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress(candidate + "." + host, port));
        } catch (IOException e) {
          return false;
        }
      }
    }
    return true;
  }
}
