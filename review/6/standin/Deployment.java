package standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment: three controllers and two gateways, started as separate processes with the
 * commands of the deploy file, each on a loopback address of its own.
 */
public final class Deployment implements AutoCloseable {

  private static final int CONTROLLERS = 3;
  private static final int GATEWAYS = 2;

  public final List<String> control = new ArrayList<>();
  public final List<String> fronts = new ArrayList<>();
  public final String machinesAddress;

  private final Trace trace;
  private final String network;
  private final Path folder;
  private final int memberPort = freePort();
  private final int controlPort = freePort();
  private final int callerPort = freePort();
  private final int readyPort = freePort();
  private final List<Process> processes = new ArrayList<>();
  private boolean closed;
  private final List<Process> gateways = new ArrayList<>();
  private final List<Process> controllers = new ArrayList<>();

  public Deployment(Trace trace) throws IOException {
    this.trace = trace;
    this.network = "127." + ThreadLocalRandom.current().nextInt(20, 250) + ".";
    this.folder = Files.createTempDirectory("case");
    for (int i = 1; i <= CONTROLLERS; i++) {
      control.add(network + "1." + i + ":" + controlPort);
    }
    for (int i = 1; i <= GATEWAYS; i++) {
      fronts.add(network + "2." + i + ":" + callerPort);
    }
    machinesAddress = network + "3.1:" + freePort();
  }

  /** Returns a loopback address for the stand-in with a number. */
  public String host(int number) {
    return network + "4." + number;
  }

  public static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress("127.0.0.1", 0));
      return socket.getLocalPort();
    }
  }

  /** Starts all processes and waits until a gateway reports that it is ready. */
  public void start() throws IOException, InterruptedException {
    startControllers(true);
    for (int i = 1; i <= GATEWAYS; i++) {
      gateways.add(startProcess("gateway", "front-" + i, network + "2." + i, null, true));
    }
    long deadline = trace.millis() + 25_000;
    for (int i = 1; i <= GATEWAYS; i++) {
      String ready = network + "2." + i + ":" + readyPort;
      while (Http.call("GET", ready, "/ready", null, 500).status() != 200) {
        if (trace.millis() > deadline) {
          throw new IllegalStateException("the deployment did not get ready");
        }
        Thread.sleep(100);
      }
    }
    trace.log("deployment ready");
  }

  private void startControllers(boolean bootstrap) throws IOException {
    for (int i = 1; i <= CONTROLLERS; i++) {
      controllers.add(startController(i, bootstrap));
    }
  }

  private Process startController(int number, boolean bootstrap) throws IOException {
    Path data = Files.createDirectories(folder.resolve("data-" + number));
    return startProcess(
        "controller", "core-" + number, network + "1." + number, data, bootstrap);
  }

  /** Starts the controllers again that have ended by themselves, and returns how many these were. */
  public int restartEndedControllers() throws IOException {
    int ended = 0;
    for (int i = 1; i <= CONTROLLERS; i++) {
      if (!controllers.get(i - 1).isAlive()) {
        ended++;
        trace.log("core-%d has ended by itself and starts again", i);
        controllers.set(i - 1, startController(i, false));
      }
    }
    return ended;
  }

  /** Kills all controllers at the same moment; they start again at once, with their disks. */
  public void killControllers() throws IOException, InterruptedException {
    trace.log("all controllers are killed");
    controllers.forEach(Process::destroyForcibly);
    for (Process controller : controllers) {
      controller.waitFor();
    }
    controllers.clear();
    startControllers(false);
    trace.log("all controllers were started again");
  }

  /** Stops the process of a controller for some time, and lets it go on. */
  public void freezeController(String node, long millis) throws Exception {
    long pid = controllers.get(Integer.parseInt(node.substring("core-".length())) - 1).pid();
    signal("STOP", pid);
    trace.log("%s is frozen", node);
    Thread.sleep(millis);
    signal("CONT", pid);
    trace.log("%s goes on after %d ms", node, millis);
  }

  /** Stops the process of a gateway for some time, and lets it go on. */
  public void freezeGateway(int number, long millis) throws Exception {
    long pid = gateways.get(number).pid();
    signal("STOP", pid);
    trace.log("gateway %s is frozen", fronts.get(number));
    Thread.sleep(millis);
    signal("CONT", pid);
    trace.log("gateway %s goes on after %d ms", fronts.get(number), millis);
  }

  private static void signal(String name, long pid) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
  }

  private Process startProcess(
      String role, String node, String host, Path data, boolean bootstrap) throws IOException {
    boolean gateway = role.equals("gateway");
    String settings =
        "[process]\n"
            + ("node = " + node + "\nrole = " + role + "\ndataCenter = zone-a\n")
            + ("dataFolder = " + (data == null ? "" : data) + "\n")
            + ("bootstrap = " + bootstrap + "\nlossesToBear = 1\nseeds = " + String.join(",", control) + "\n")
            + ("[listen]\nhost = " + host + "\nmemberPort = " + memberPort + "\n")
            + ("callers = " + (gateway ? host + ":" + callerPort : "") + "\n")
            + ("ready = " + (gateway ? host + ":" + readyPort : "") + "\n")
            + ("control = " + (gateway ? "" : host + ":" + controlPort) + "\n")
            + "metricsPort = 0\n"
            + ("[platform]\nmachines = " + machinesAddress + "\nadvice =\n")
            + "[timing]\nleaseMillis = 6000\nstopRunMillis = 900\nofficeWaitMillis = 3000\n"
            + "maintenanceMillis = 2s\nabsenceMillis = 4500\nstopMillis = 6s\n";
    Path file = folder.resolve(node + ".ini");
    Files.writeString(file, settings);
    List<String> command = new ArrayList<>();
    for (String word : runCommand(role).split(" ")) {
      command.add(word.equals("/etc/plantainknot/node.yaml") ? file.toString() : word);
    }
    File log = folder.resolve(node + ".log").toFile();
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
    processes.add(process);
    return process;
  }

  private static String runCommand(String role) throws IOException {
    String text = Files.readString(Path.of("deploy/system.toml"));
    Matcher matcher =
        Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(text);
    if (!matcher.find()) {
      throw new IllegalStateException("no role " + role + " in the deploy file");
    }
    return matcher.group(1);
  }

  /** Sends a manifest to one controller after the other until it is acknowledged. */
  public void putManifest(String manifest) throws InterruptedException {
    JsonNode version = Http.parse(manifest).path("version");
    for (int attempt = 0; attempt < 60; attempt++) {
      String address = control.get(attempt % control.size());
      int status = Http.call("PUT", address, "/config", manifest, 1_000).status();
      trace.log("manifest version=%s to=%s answer=%d", version, address, status);
      if (status == 200) {
        return;
      }
      Thread.sleep(200);
    }
    throw new IllegalStateException("the manifest was not acknowledged");
  }

  /** Calls a gateway as a requester does, and moves on to the next without a clear answer. */
  public Http.Response request(String method, String host, String path, String body) {
    Http.Response response = null;
    for (int attempt = 0; attempt < 4; attempt++) {
      String front = fronts.get(attempt % fronts.size());
      response =
          Http.call(method, front, path, body, 3_000, "Host", host, "X-Deadline-Ms", "3000");
      trace.log(
          "call %s %s%s via=%s answer=%d %s",
          method, host, path, front, response.status(), response.body());
      boolean clear = response.status() != 0 && response.status() != 502
          && response.status() != 503 && response.status() != 504;
      if (clear) {
        return response;
      }
    }
    return response;
  }

  /** Ends all processes and removes their files. */
  @Override
  public synchronized void close() throws IOException {
    if (closed) {
      return;
    }
    closed = true;
    for (Process process : processes) {
      process.destroyForcibly();
    }
    for (Process process : processes) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") != null) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
