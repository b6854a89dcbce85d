package org.plantainknot.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** Prints responses of the operator interface as human-readable tables. */
final class TablePrinter {

  private static final String TICKET_ROW = "%-10s %-10s %-12s %s%n";
  private static final String SERVICE_ROW = "  %-20s %-16s %9s %6s %8s%n";

  private final PrintStream out;

  TablePrinter(PrintStream out) {
    this.out = out;
  }

  void print(JsonNode response) {
    if (response.isArray()) {
      out.printf(TICKET_ROW, "NUMBER", "STATUS", "FILED BY", "NOTE");
      response.forEach(this::printTicketRow);
    } else if (response.has("ticket") && response.has("status")) {
      printTicket(response);
    } else if (response.has("leaseHeld")) {
      printStatus(response);
    } else if (response.has("message")) {
      out.println(response.get("message").asText());
    } else {
      out.println(response.toPrettyString());
    }
  }

  private void printTicketRow(JsonNode entry) {
    out.printf(
        TICKET_ROW,
        entry.at("/ticket/number").asText(),
        entry.path("status").asText(),
        entry.path("filedBy").asText(),
        entry.at("/ticket/note").asText());
  }

  private void printTicket(JsonNode entry) {
    printFields(entry, "ticket", "findings");
    entry
        .path("findings")
        .forEach(
            f -> out.println("  " + f.path("place").asText() + ": " + f.path("problem").asText()));
    out.println(entry.get("ticket").toPrettyString());
  }

  private void printStatus(JsonNode status) {
    printFields(status, "services", "waiting", "unnamedVms");
    status.path("unnamedVms").forEach(vm -> out.println("  unnamed VM " + vm.asText()));
    out.printf(SERVICE_ROW, "SERVICE", "POOL", "AVAILABLE", "BUDGET", "TICKET");
    status
        .path("services")
        .forEach(
            s ->
                out.printf(
                    SERVICE_ROW,
                    s.path("service").asText(),
                    s.path("pool").asText(),
                    s.path("availableVms").asText(),
                    s.path("minAvailableVms").asText(),
                    s.path("ticket").asText()));
    status.path("waiting").forEach(w -> out.println("  waiting: " + w.asText()));
  }

  private void printFields(JsonNode node, String... excluded) {
    Iterator<Map.Entry<String, JsonNode>> fields = node.properties().iterator();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      if (!List.of(excluded).contains(field.getKey())) {
        out.printf("%-18s %s%n", field.getKey(), field.getValue().asText());
      }
    }
  }
}
