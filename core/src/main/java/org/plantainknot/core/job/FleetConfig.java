package org.plantainknot.core.job;

import java.util.List;

/**
 * Configuration of queues and services; the highest version is in force.
 *
 * @param version number that the operators gave it
 * @param queues queues
 * @param services services
 * @param document the text as the operator sent it
 */
public record FleetConfig(
    long version, List<QueueConfig> queues, List<ServiceConfig> services, String document) {

  /** State before the first configuration. */
  public static final FleetConfig NONE = new FleetConfig(0, List.of(), List.of(), "");

  /** Copies the lists. */
  public FleetConfig {
    queues = List.copyOf(queues);
    services = List.copyOf(services);
  }

  /** Returns whether no configuration was accepted yet. */
  public boolean isNone() {
    return document.isEmpty();
  }
}
