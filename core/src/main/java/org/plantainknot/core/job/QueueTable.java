package org.plantainknot.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Index of queues by name and by host, since a large configuration has thousands of them. */
final class QueueTable {

  private final Map<String, QueueConfig> queueByName = new HashMap<>();
  private final Map<String, List<QueueConfig>> queuesByHost = new HashMap<>();

  QueueTable(FleetConfig config) {
    for (QueueConfig queue : config.queues()) {
      queueByName.putIfAbsent(queue.name(), queue);
      queuesByHost.computeIfAbsent(queue.host(), host -> new ArrayList<>()).add(queue);
    }
    Comparator<QueueConfig> longestPrefixFirst =
        Comparator.comparing(queue -> -queue.pathPrefix().length());
    queuesByHost.values().forEach(queues -> queues.sort(longestPrefixFirst));
  }

  /** Returns the queue of the host whose path prefix is the longest match for the path. */
  Optional<QueueConfig> route(String host, String path) {
    return queuesByHost.getOrDefault(host, List.of()).stream()
        .filter(queue -> path.startsWith(queue.pathPrefix()))
        .findFirst();
  }

  /** Returns the queue with the given name. */
  Optional<QueueConfig> find(String name) {
    return Optional.ofNullable(queueByName.get(name));
  }
}
