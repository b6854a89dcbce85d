package org.plantainknot.core.job;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.plantainknot.core.error.Findings;

/** Consistency checks of a configuration as a whole. */
public final class ConfigChecks {

  private ConfigChecks() {}

  /** Adds a finding for each inconsistency of a configuration. */
  public static void check(FleetConfig config, Findings findings) {
    Set<String> services =
        config.services().stream().map(ServiceConfig::name).collect(Collectors.toSet());
    findings.require(
        services.size() == config.services().size(), "services", "duplicate service name");
    Set<String> names = new HashSet<>();
    Set<String> places = new HashSet<>();
    for (int i = 0; i < config.queues().size(); i++) {
      QueueConfig queue = config.queues().get(i);
      String place = "queues[" + i + "]";
      findings.require(names.add(queue.name()), place + ".name", "duplicate queue name");
      findings.require(
          places.add(queue.host() + " " + queue.pathPrefix()),
          place + ".pathPrefix",
          "another queue has the same host and prefix");
      findings.require(
          services.contains(queue.service()),
          place + ".service",
          "there is no service " + queue.service());
      findings.require(
          queue.timeoutMillis() > 0, place + ".timeoutMillis", "must be greater than 0");
    }
  }
}
