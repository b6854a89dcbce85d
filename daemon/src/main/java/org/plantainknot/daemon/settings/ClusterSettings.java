package org.plantainknot.daemon.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.plantainknot.core.schedule.DispatchTiming;

/**
 * Settings of a process in a cluster of gateways and controllers.
 *
 * @param node name of the node
 * @param role role of the process
 * @param dataCenter data centre of the node
 * @param host address that all listeners bind to
 * @param memberPort port for links between controllers and gateways
 * @param callerAddress listener for callers, or empty
 * @param readyAddress listener for the load balancer's health checks, or empty
 * @param controlAddress listener for workers and operators, or empty
 * @param metricsPort port of the metrics endpoint
 * @param seeds control addresses of some controllers
 * @param bootstrap whether the cluster starts for the first time
 * @param tolerableLosses number of simultaneous controller failures that the cluster must tolerate
 * @param dataFolder folder of the replicated log, or empty
 * @param machinesAddress address of the platform's machine service, or an empty string
 * @param adviceAddress address of the advice service, which tells which workers may run a step, or
 *     an empty string
 * @param stopMillis longest time that a stop may take
 * @param timing timing of the dispatcher
 */
public record ClusterSettings(
    String node,
    ProcessRole role,
    String dataCenter,
    String host,
    int memberPort,
    Optional<String> callerAddress,
    Optional<String> readyAddress,
    Optional<String> controlAddress,
    int metricsPort,
    List<HostPort> seeds,
    boolean bootstrap,
    int tolerableLosses,
    Optional<Path> dataFolder,
    String machinesAddress,
    String adviceAddress,
    long stopMillis,
    DispatchTiming timing) {

  /** Makes an immutable copy of the seeds. */
  public ClusterSettings {
    seeds = List.copyOf(seeds);
  }

  /**
   * Returns the addresses at which the seeds accept links: the seeds' hosts with this process's
   * member port.
   */
  public List<HostPort> seedLinks() {
    return seeds.stream().map(seed -> new HostPort(seed.host(), memberPort)).toList();
  }

  /** Returns the address at which this process accepts links. */
  public HostPort linkAddress() {
    return new HostPort(host, memberPort);
  }
}
