package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Moved machines whose new workers do not take work yet. */
final class ArrivingMachines {

  /** Time within which the worker of a moved machine is expected to announce itself. */
  private static final long ARRIVAL_MILLIS = 3_000;

  private record Arrival(String pool, long untilMillis) {}

  private final WorkerDirectory directory;
  private final Map<String, Arrival> arrivals = new HashMap<>();

  ArrivingMachines(WorkerDirectory directory) {
    this.directory = directory;
  }

  void moved(String machine, String pool, long nowMillis) {
    arrivals.put(machine, new Arrival(pool, nowMillis + ARRIVAL_MILLIS));
  }

  /**
   * Removes machines whose new worker takes work, since it counts as capacity from now on, and
   * those whose arrival time has run out.
   */
  void removeArrived(Predicate<WorkerHeartbeat> usable, long nowMillis) {
    arrivals.values().removeIf(arrival -> arrival.untilMillis() <= nowMillis);
    for (WorkerHeartbeat worker : directory.all()) {
      Arrival arrival = arrivals.get(worker.machine());
      boolean arrived = arrival != null && arrival.pool().equals(worker.service());
      if (arrived && usable.test(worker)) {
        arrivals.remove(worker.machine());
      }
    }
  }

  Set<String> names() {
    return arrivals.keySet();
  }

  /** Returns the number of machines that are arriving in a pool. */
  long countTo(String pool) {
    return arrivals.values().stream().filter(arrival -> arrival.pool().equals(pool)).count();
  }
}
