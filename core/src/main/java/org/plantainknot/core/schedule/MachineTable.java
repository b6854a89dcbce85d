package org.plantainknot.core.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Machines as the platform last listed them, and when to request the list again. */
final class MachineTable {

  private static final long INTERVAL_MILLIS = 2_000;

  /** Shortest time between two requests while there is no list yet. */
  private static final long RETRY_MILLIS = 250;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final Map<String, Machine> machines = new HashMap<>();
  private final Set<String> workers = new HashSet<>();
  private boolean requestPending;
  private boolean known;
  private long requestedAtMillis = NEVER_MILLIS;

  void replaceAll(List<Machine> list) {
    requestPending = false;
    known = true;
    machines.clear();
    list.forEach(machine -> machines.put(machine.name(), machine));
    workers.clear();
    list.forEach(machine -> workers.add(machine.worker()));
  }

  void listFailed() {
    requestPending = false;
  }

  boolean isKnown() {
    return known;
  }

  Machine find(String name) {
    return machines.get(name);
  }

  /** Returns the identifiers of the workers that are listed with their machines. */
  Set<String> workers() {
    return workers;
  }

  Collection<Machine> all() {
    return machines.values();
  }

  /** Marks a machine as moving to a pool, until the next list replaces the entry. */
  void moved(String name, String pool) {
    machines.computeIfPresent(
        name,
        (n, machine) ->
            new Machine(n, pool, MachineState.MOVING, machine.labels(), machine.worker()));
  }

  /** Returns whether the list is due, and if so marks it as requested. */
  boolean markRequestedIfDue(long nowMillis) {
    long intervalMillis = known ? INTERVAL_MILLIS : RETRY_MILLIS;
    boolean due = !requestPending && nowMillis - requestedAtMillis >= intervalMillis;
    if (due) {
      requestPending = true;
      requestedAtMillis = nowMillis;
    }
    return due;
  }
}
