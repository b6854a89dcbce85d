package org.plantainknot.core.job;

import java.util.List;

/**
 * Configuration of queues and services; the highest version is in force.
 *
 * @param version version number assigned by the operators
 * @param queues all queues
 * @param services all services
 * @param document text of the configuration as the operator sent it
 */
public record FleetConfig(
    long version, List<QueueConfig> queues, List<ServiceConfig> services, String document) {

  /** Empty configuration, in force until the first one is accepted. */
  public static final FleetConfig NONE = new FleetConfig(0, List.of(), List.of(), "");

  /** Makes defensive copies of the lists. */
  public FleetConfig {
    queues = List.copyOf(queues);
    services = List.copyOf(services);
  }

  /** Returns whether no configuration has been accepted yet. */
  public boolean isNone() {
    return document.isEmpty();
  }
}
