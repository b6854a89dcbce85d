package org.plantainknot.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import org.plantainknot.bench.cluster.OperatorClient;

/** Polls the number of available VMs of each service and keeps the lowest, with the budget. */
final class BudgetMonitor {

  private static final long INTERVAL_MILLIS = 100;

  private final OperatorClient operator;
  private final Map<String, Integer> lowestAvailable = new ConcurrentSkipListMap<>();
  private final Map<String, Integer> budgets = new ConcurrentSkipListMap<>();

  BudgetMonitor(OperatorClient operator) {
    this.operator = operator;
  }

  /** Returns whether every service has more available VMs than its budget. */
  boolean allAboveBudget() {
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
    Thread thread = new Thread(this::poll, "budget-watch");
    thread.setDaemon(true);
    thread.start();
  }

  Map<String, Integer> lowestAvailable() {
    return new TreeMap<>(lowestAvailable);
  }

  Map<String, Integer> budgets() {
    return new TreeMap<>(budgets);
  }

  private void poll() {
    while (!Thread.currentThread().isInterrupted()) {
      operator.getAny("/status").ifPresent(this::recordStatus);
      OperatorClient.sleep(INTERVAL_MILLIS);
    }
  }

  private void recordStatus(JsonNode status) {
    if (!status.path("leaseHeld").asBoolean()) {
      return;
    }
    for (JsonNode service : status.path("services")) {
      String name = service.path("service").asText();
      lowestAvailable.merge(name, service.path("availableVms").asInt(), Math::min);
      budgets.put(name, service.path("minAvailableVms").asInt());
    }
  }
}
