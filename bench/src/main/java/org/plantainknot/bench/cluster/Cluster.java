package org.plantainknot.bench.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.plantainknot.daemon.settings.HostPort;

/** Six daemon processes on loopback addresses, two per data centre, one of them a voter. */
public final class Cluster implements AutoCloseable {

  /** Bearer token of the operator with the role {@code approve}, which permits every operation. */
  public static final String TOKEN = "demo-token-of-the-approver";

  private static final List<String> FAST_START_OPTIONS = List.of("-XX:TieredStopAtLevel=1");
  private static final String HOST = "127.0.0.1";
  private static final int NODES = 6;
  private static final int PORTS_PER_NODE = 3;

  private final Path folder;
  private final int basePort;
  private final List<NodeLayout> nodes = new ArrayList<>();
  private final Map<String, DaemonProcess> processes = new LinkedHashMap<>();
  private final SortedMap<String, HostPort> memberAddresses = new TreeMap<>();
  private final Map<String, String> extraSettings;
  private List<String> javaOptions = FAST_START_OPTIONS;

  /**
   * Creates the layout of a cluster without starting any process.
   *
   * @param folder folder for settings, data and logs
   * @param basePort first port of the contiguous range that the daemons use
   * @param extraSettings further settings of all daemons, keyed by {@code section.key}
   */
  public Cluster(Path folder, int basePort, Map<String, String> extraSettings) {
    this.folder = folder;
    this.basePort = basePort;
    this.extraSettings = Map.copyOf(extraSettings);
    for (int i = 0; i < NODES; i++) {
      nodes.add(layout(i));
    }
    nodes.forEach(node -> memberAddresses.put(node.name(), node.member()));
  }

  /** Returns all nodes. */
  public List<NodeLayout> nodes() {
    return List.copyOf(nodes);
  }

  /** Returns the names of the voters. */
  public List<String> voters() {
    return nodes.stream().filter(NodeLayout::voter).map(NodeLayout::name).toList();
  }

  /** Returns the addresses that serve callers and targets. */
  public List<HostPort> callerAddresses() {
    return nodes.stream().map(NodeLayout::caller).toList();
  }

  /** Returns the addresses that serve operators. */
  public List<HostPort> operatorAddresses() {
    return nodes.stream().map(NodeLayout::operator).toList();
  }

  /** Returns the first port after those of the daemons. */
  public int freePort() {
    return basePort + NODES * PORTS_PER_NODE;
  }

  /** Sets the address, such as that of a proxy, at which daemons started later reach a node. */
  public void setMemberAddress(String node, HostPort address) {
    memberAddresses.put(node, address);
  }

  /** Starts further daemons with all JIT tiers, for throughput instead of a fast start. */
  public void enableFullCompilation() {
    javaOptions = List.of();
  }

  /** Starts all daemons. */
  public void start() {
    nodes.forEach(node -> start(node.name()));
  }

  /** Writes the settings of one node and starts its daemon. */
  public void start(String node) {
    Path settings =
        writeSettings(nodes.stream().filter(n -> n.name().equals(node)).findFirst().get());
    processes.put(node, DaemonProcess.start(settings, logFile(node), javaOptions));
  }

  /** Returns the last process started for a node. */
  public DaemonProcess process(String node) {
    return processes.get(node);
  }

  /** Returns the file that receives the output of a node. */
  public Path logFile(String node) {
    return folder.resolve(node + ".log");
  }

  /** Returns the data folder of a node. */
  public Path dataFolder(String node) {
    return folder.resolve("data-" + node);
  }

  @Override
  public void close() {
    processes.values().forEach(DaemonProcess::kill);
  }

  private NodeLayout layout(int index) {
    int port = basePort + index * PORTS_PER_NODE;
    return new NodeLayout(
        "n" + (index + 1),
        "dc" + (index % 3 + 1),
        index < 3,
        new HostPort(HOST, port),
        new HostPort(HOST, port + 1),
        new HostPort(HOST, port + 2));
  }

  private Path writeSettings(NodeLayout node) {
    Map<String, Map<String, String>> sections = new LinkedHashMap<>();
    put(sections, "node", "name", node.name());
    put(sections, "node", "dataCenter", node.dataCenter());
    if (node.voter()) {
      put(sections, "node", "dataFolder", dataFolder(node.name()).toString());
    }
    put(sections, "listen", "host", HOST);
    put(sections, "listen", "callerPort", Integer.toString(node.caller().port()));
    put(sections, "listen", "operatorPort", Integer.toString(node.operator().port()));
    put(sections, "listen", "memberPort", Integer.toString(node.member().port()));
    memberAddresses.forEach((name, a) -> put(sections, "members", name, a.toString()));
    put(sections, "operators", "approver", "approve " + TOKEN);
    extraSettings.forEach(
        (key, value) -> {
          int dot = key.indexOf('.');
          put(sections, key.substring(0, dot), key.substring(dot + 1), value);
        });
    return write(folder.resolve(node.name() + ".ini"), sections);
  }

  private static void put(
      Map<String, Map<String, String>> sections, String section, String key, String value) {
    sections.computeIfAbsent(section, s -> new LinkedHashMap<>()).put(key, value);
  }

  private static Path write(Path file, Map<String, Map<String, String>> sections) {
    String text =
        sections.entrySet().stream()
            .map(
                section ->
                    "["
                        + section.getKey()
                        + "]\n"
                        + section.getValue().entrySet().stream()
                            .map(pair -> pair.getKey() + " = " + pair.getValue() + "\n")
                            .collect(Collectors.joining()))
            .collect(Collectors.joining("\n"));
    try {
      Files.createDirectories(file.getParent());
      return Files.writeString(file, text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
