package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * Moves that the platform has refused lately.
 *
 * <p>The kind of a machine stays with it, so a pool of other machines refuses every machine of a
 * donor pool. A single refusal may also mean that the machine has vanished, so only several of them
 * speak for the whole donor pool. They are forgotten after a while. Not thread-safe.
 */
final class RefusedMoves {

  private static final long KEEP_MILLIS = 60_000;

  /** Number of refused machines of a donor pool after which its others aren't tried either. */
  private static final int MIN_REFUSED_MACHINES = 2;

  private record Pools(String donor, String receiver) {}

  private final Map<Pools, Map<String, Long>> untilMillisByMachine = new HashMap<>();

  void refused(String machine, String donor, String receiver, long nowMillis) {
    untilMillisByMachine
        .computeIfAbsent(new Pools(donor, receiver), pools -> new HashMap<>())
        .put(machine, nowMillis + KEEP_MILLIS);
  }

  /** Returns whether a move would probably be refused again. */
  boolean isHopeless(String machine, String donor, String receiver) {
    Map<String, Long> machines =
        untilMillisByMachine.getOrDefault(new Pools(donor, receiver), Map.of());
    return machines.containsKey(machine) || machines.size() >= MIN_REFUSED_MACHINES;
  }

  void removeExpired(long nowMillis) {
    untilMillisByMachine
        .values()
        .forEach(machines -> machines.values().removeIf(untilMillis -> nowMillis >= untilMillis));
    untilMillisByMachine.values().removeIf(Map::isEmpty);
  }
}
