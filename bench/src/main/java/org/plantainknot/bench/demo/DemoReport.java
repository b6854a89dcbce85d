package org.plantainknot.bench.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.plantainknot.bench.load.CallerLoad;
import org.plantainknot.bench.load.RequestRecord;
import org.plantainknot.bench.load.RequestRecord.Verdict;
import org.plantainknot.bench.standin.Ledger;

/** Table of what held in the demo. */
final class DemoReport {

  private static final int SLOTS = 8;
  private static final String ROW = "%-44s %10s   %s%n";

  private final CallerLoad load;
  private final Ledger ledger;
  private final BudgetWatch budgets;
  private final List<String> rows = new ArrayList<>();
  private boolean held = true;

  DemoReport(CallerLoad load, Ledger ledger, BudgetWatch budgets) {
    this.load = load;
    this.ledger = ledger;
    this.budgets = budgets;
  }

  /** Notes something that has to hold. */
  void check(String what, boolean holds) {
    held &= holds;
    if (!holds) {
      rows.add(String.format(ROW, what, "no", "BROKEN"));
    }
  }

  void inForce(long ticket, long millis) {
    figure(
        "ticket " + ticket + ": approval to in force, ms", millis, "at most 5000", millis <= 5_000);
  }

  void moves(int needed, long made) {
    figure("VMs moved", made, "needed " + needed, made == needed);
  }

  void reboots(int needed, long made) {
    figure("VMs rebooted", made, "needed " + needed, made == needed);
  }

  void failover(long millis) {
    figure("leader killed to next leader seen, ms", millis, "at most 3000", millis <= 3_000);
  }

  boolean print(PrintStream out) {
    requests();
    for (Map.Entry<String, Integer> service : budgets.lowest().entrySet()) {
      int budget = budgets.budget().get(service.getKey());
      figure(
          "lowest VMs of " + service.getKey(),
          service.getValue(),
          "budget " + budget,
          service.getValue() >= budget);
    }
    out.println();
    rows.forEach(out::print);
    out.println(held ? "every promise held" : "a promise was BROKEN");
    return held;
  }

  private void requests() {
    note("requests answered", count(r -> r.verdict() == Verdict.ANSWERED));
    note("requests not run", count(r -> r.verdict() == Verdict.NOT_RUN));
    note("requests that may have run", count(r -> r.verdict() == Verdict.MAY_HAVE_RUN));
    note("requests without any answer", count(r -> r.verdict() == Verdict.BROKEN));
    zero("answers that were wrong", count(RequestRecord::wrong));
    zero("non-idempotent requests run twice", count(r -> !r.idempotent() && runs(r) > 1));
    zero("told \"not run\" but run", count(r -> r.verdict() == Verdict.NOT_RUN && runs(r) > 0));
    zero("answered but not run", count(r -> r.verdict() == Verdict.ANSWERED && runs(r) == 0));
    zero("requests cut by planned stops", ledger.cutRequests());
    figure(
        "most requests at a time on a target",
        ledger.mostInUse(),
        "at most " + SLOTS,
        ledger.mostInUse() <= SLOTS);
  }

  private int runs(RequestRecord request) {
    return ledger.runs(request.requestId());
  }

  private long count(Predicate<RequestRecord> condition) {
    return load.records().stream().filter(condition).count();
  }

  private void note(String what, long value) {
    rows.add(String.format(ROW, what, value, ""));
  }

  private void zero(String what, long value) {
    figure(what, value, "must be 0", value == 0);
  }

  private void figure(String what, long value, String bound, boolean holds) {
    held &= holds;
    rows.add(String.format(ROW, what, value, bound + (holds ? "" : "   BROKEN")));
  }
}
