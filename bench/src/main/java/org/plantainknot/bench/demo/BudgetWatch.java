package org.plantainknot.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import org.plantainknot.bench.cluster.OperatorClient;

/** Watches the number of VMs that each service has, next to its budget. */
final class BudgetWatch {

  private static final long INTERVAL_MILLIS = 100;

  private final OperatorClient operator;
  private final Map<String, Integer> lowest = new ConcurrentSkipListMap<>();
  private final Map<String, Integer> budget = new ConcurrentSkipListMap<>();

  BudgetWatch(OperatorClient operator) {
    this.operator = operator;
  }

  /** Returns whether every service has more VMs than its budget. */
  boolean allServed() {
    JsonNode status = operator.getAny("/status").orElse(null);
    if (status == null || status.path("services").isEmpty()) {
      return false;
    }
    for (JsonNode service : status.path("services")) {
      if (service.path("availableVms").asInt() <= service.path("minAvailableVms").asInt()) {
        return false;
      }
    }
    return true;
  }

  void start() {
    Thread thread = new Thread(this::watch, "budget-watch");
    thread.setDaemon(true);
    thread.start();
  }

  Map<String, Integer> lowest() {
    return new TreeMap<>(lowest);
  }

  Map<String, Integer> budget() {
    return new TreeMap<>(budget);
  }

  private void watch() {
    while (!Thread.currentThread().isInterrupted()) {
      operator.getAny("/status").ifPresent(this::note);
      OperatorClient.sleep(INTERVAL_MILLIS);
    }
  }

  private void note(JsonNode status) {
    if (!status.path("leaseHeld").asBoolean()) {
      return;
    }
    for (JsonNode service : status.path("services")) {
      String name = service.path("service").asText();
      lowest.merge(name, service.path("availableVms").asInt(), Math::min);
      budget.put(name, service.path("minAvailableVms").asInt());
    }
  }
}
