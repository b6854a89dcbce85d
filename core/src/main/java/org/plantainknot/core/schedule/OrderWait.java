package org.plantainknot.core.schedule;

import java.util.Map;

/**
 * Period during which a new leader sends no orders for machines that an earlier leader may still be
 * ordering.
 *
 * @param untilMillisByMachine end of the wait for each machine with a known order
 * @param allUntilMillis earliest end of the wait for any machine
 */
record OrderWait(Map<String, Long> untilMillisByMachine, long allUntilMillis) {

  /** Copies the map. */
  OrderWait {
    untilMillisByMachine = Map.copyOf(untilMillisByMachine);
  }

  boolean isOver(String machine, long nowMillis) {
    return nowMillis >= allUntilMillis
        && nowMillis >= untilMillisByMachine.getOrDefault(machine, allUntilMillis);
  }
}
