package org.plantainknot.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Queues of a configuration by name and by host; a large configuration has thousands. */
final class QueueTable {

  private final Map<String, QueueConfig> queueByName = new HashMap<>();
  private final Map<String, List<QueueConfig>> queuesByHost = new HashMap<>();

  QueueTable(FleetConfig config) {
    for (QueueConfig queue : config.queues()) {
      queueByName.putIfAbsent(queue.name(), queue);
      queuesByHost.computeIfAbsent(queue.host(), host -> new ArrayList<>()).add(queue);
    }
    Comparator<QueueConfig> longestFirst =
        Comparator.comparing(queue -> -queue.pathPrefix().length());
    queuesByHost.values().forEach(queues -> queues.sort(longestFirst));
  }

  /** Returns the queue of a host with the longest prefix that the path begins with. */
  Optional<QueueConfig> route(String host, String path) {
    return queuesByHost.getOrDefault(host, List.of()).stream()
        .filter(queue -> path.startsWith(queue.pathPrefix()))
        .findFirst();
  }

  /** Returns the queue of a name. */
  Optional<QueueConfig> find(String name) {
    return Optional.ofNullable(queueByName.get(name));
  }
}
