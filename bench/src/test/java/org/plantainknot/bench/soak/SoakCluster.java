package org.plantainknot.bench.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.plantainknot.bench.cluster.DaemonProcess;
import org.plantainknot.bench.cluster.OperatorClient;
import org.plantainknot.daemon.settings.HostPort;

/**
 * Gateway and controller processes, each on its own loopback address, started by the commands of
 * the deploy file on its settings template.
 */
final class SoakCluster implements AutoCloseable {

  private static final int CALLER_PORT = 7001;
  private static final int READY_PORT = 7002;
  private static final int CONTROL_PORT = 7003;
  private static final int MEMBER_PORT = 7004;
  private static final long STOP_TIMEOUT_MILLIS = 8_000;

  /** Time bounds of the users' smallest deployments. */
  private static final Map<String, String> BOUNDS =
      Map.of(
          "bounds.hold_max_ms", "6000",
          "bounds.stop_ms", "900",
          "bounds.lease_ms", "3000",
          "bounds.maintenance_s", "2",
          "bounds.notice_ms", "4500",
          "bounds.grace_s", "6");

  private static final long START_TIMEOUT_MILLIS = 15_000;

  private final Path folder;
  private final int subnet;
  private final HostPort machinesAddress;
  private final List<String> controllers;
  private final List<String> gateways;
  private final Map<String, DaemonProcess> processes = new LinkedHashMap<>();

  /**
   * Creates a cluster without starting its processes.
   *
   * @param folder folder for settings, data and logs
   * @param subnet third octet of the addresses of the processes
   * @param controllers number of controllers
   * @param gateways number of gateways
   * @param machinesAddress address of the machine service of the platform
   */
  SoakCluster(Path folder, int subnet, int controllers, int gateways, HostPort machinesAddress) {
    this.folder = folder;
    this.subnet = subnet;
    this.machinesAddress = machinesAddress;
    this.controllers = IntStream.range(0, controllers).mapToObj(i -> "c" + i).toList();
    this.gateways = IntStream.range(0, gateways).mapToObj(i -> "g" + i).toList();
  }

  List<String> controllers() {
    return controllers;
  }

  List<String> gateways() {
    return gateways;
  }

  HostPort callerAddress(String gateway) {
    return new HostPort(host(gateway), CALLER_PORT);
  }

  HostPort controlAddress(String controller) {
    return new HostPort(host(controller), CONTROL_PORT);
  }

  DaemonProcess process(String node) {
    return processes.get(node);
  }

  void startAll() {
    controllers.forEach(node -> start(node, true));
    gateways.forEach(node -> start(node, true));
  }

  /** Returns how many controllers may be lost at once. */
  int tolerableLosses() {
    return (controllers.size() - 1) / 2;
  }

  /** Deletes the disk of a node whose process has ended. */
  void wipe(String node) {
    try (Stream<Path> files = Files.list(folder.resolve(node))) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Starts a node whose process has ended again, on what its disk holds. */
  void startAgain(String node) {
    start(node, false);
  }

  /** Restarts a node on its existing data and waits until it listens. */
  void restart(String node) {
    startAgain(node);
    HostPort listener = controllers.contains(node) ? controlAddress(node) : callerAddress(node);
    OperatorClient.await(START_TIMEOUT_MILLIS, () -> isListening(listener));
  }

  private static boolean isListening(HostPort address) {
    try (Socket socket = new Socket(address.host(), address.port())) {
      return socket.isConnected();
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public void close() {
    processes.values().forEach(DaemonProcess::thaw);
    processes.values().forEach(DaemonProcess::kill);
  }

  /** Stops a node gracefully; returns whether it exited within the timeout. */
  boolean stop(String node) {
    return process(node).stop(STOP_TIMEOUT_MILLIS);
  }

  private void start(String node, boolean bootstrap) {
    try {
      Path settings = folder.resolve(node + ".ini");
      Files.writeString(settings, settings(node, bootstrap));
      List<String> command = DeployFile.command(roleOf(node), settings);
      Path log = folder.resolve(node + ".log");
      processes.put(node, DaemonProcess.start(command, DeployFile.root(), log));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private String settings(String node, boolean bootstrap) {
    List<String> seeds =
        controllers.stream().limit(3).map(seed -> controlAddress(seed).toString()).toList();
    Map<String, String> values = new HashMap<>(BOUNDS);
    values.put("node", node);
    values.put("role", roleOf(node));
    values.put("zone", "dc");
    values.put("bootstrap", Boolean.toString(bootstrap));
    values.put("tolerate.machines", Integer.toString(tolerableLosses()));
    values.put("seeds", String.join(",", seeds));
    values.put("ip", host(node));
    values.put("port_range.0", Integer.toString(MEMBER_PORT));
    values.put("cloud.address", machinesAddress.toString());
    if (controllers.contains(node)) {
      values.put("data_dir", folder.resolve(node).toString());
      values.put("listen.control", controlAddress(node).toString());
    } else {
      values.put("listen.front", callerAddress(node).toString());
      values.put("listen.ready", host(node) + ":" + READY_PORT);
    }
    return DeployFile.settings(values);
  }

  private String roleOf(String node) {
    return controllers.contains(node) ? "controller" : "gateway";
  }

  private String host(String node) {
    int number =
        controllers.contains(node) ? controllers.indexOf(node) : 100 + gateways.indexOf(node);
    return "127.1." + subnet + "." + (1 + number);
  }
}
