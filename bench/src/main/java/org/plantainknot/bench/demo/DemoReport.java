package org.plantainknot.bench.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.plantainknot.bench.load.CallerLoad;
import org.plantainknot.bench.load.RequestRecord;
import org.plantainknot.bench.load.RequestRecord.Verdict;
import org.plantainknot.bench.standin.RunLog;

/** Collects the checks and counts of the demo and prints them as a table. */
final class DemoReport {

  private static final int SLOTS = 8;
  private static final String ROW = "%-44s %10s   %s%n";

  private final CallerLoad load;
  private final RunLog runLog;
  private final BudgetMonitor budgetMonitor;
  private final List<String> rows = new ArrayList<>();
  private boolean allHold = true;

  DemoReport(CallerLoad load, RunLog runLog, BudgetMonitor budgetMonitor) {
    this.load = load;
    this.runLog = runLog;
    this.budgetMonitor = budgetMonitor;
  }

  /** Checks a condition; only a failed check gets a row. */
  void check(String name, boolean holds) {
    allHold &= holds;
    if (!holds) {
      rows.add(String.format(ROW, name, "no", "BROKEN"));
    }
  }

  void checkInForceTime(long ticket, long millis) {
    checkValue(
        "ticket " + ticket + ": approval to in force, ms", millis, "at most 5000", millis <= 5_000);
  }

  void checkMoves(int expected, long actual) {
    checkValue("VMs moved", actual, "expected " + expected, actual == expected);
  }

  void checkReboots(int expected, long actual) {
    checkValue("VMs rebooted", actual, "expected " + expected, actual == expected);
  }

  void checkFailover(long millis) {
    checkValue("leader killed to next leader seen, ms", millis, "at most 3000", millis <= 3_000);
  }

  boolean print(PrintStream out) {
    addRequestRows();
    for (Map.Entry<String, Integer> service : budgetMonitor.lowestAvailable().entrySet()) {
      int budget = budgetMonitor.budgets().get(service.getKey());
      checkValue(
          "lowest available VMs of " + service.getKey(),
          service.getValue(),
          "budget " + budget,
          service.getValue() >= budget);
    }
    out.println();
    rows.forEach(out::print);
    out.println(allHold ? "every guarantee held" : "a guarantee was BROKEN");
    return allHold;
  }

  private void addRequestRows() {
    addCount("requests answered", count(r -> r.verdict() == Verdict.ANSWERED));
    addCount("requests not run", count(r -> r.verdict() == Verdict.NOT_RUN));
    addCount("requests that may have run", count(r -> r.verdict() == Verdict.MAY_HAVE_RUN));
    addCount("requests without any response", count(r -> r.verdict() == Verdict.BROKEN));
    checkZero("wrong answers", count(RequestRecord::wrong));
    checkZero("non-idempotent requests run twice", count(r -> !r.idempotent() && runs(r) > 1));
    checkZero(
        "reported \"not run\" but run", count(r -> r.verdict() == Verdict.NOT_RUN && runs(r) > 0));
    checkZero("answered but not run", count(r -> r.verdict() == Verdict.ANSWERED && runs(r) == 0));
    checkZero("requests interrupted by planned stops", runLog.interruptedRequests());
    checkValue(
        "max concurrent requests on a target",
        runLog.mostInUse(),
        "at most " + SLOTS,
        runLog.mostInUse() <= SLOTS);
  }

  private int runs(RequestRecord request) {
    return runLog.runs(request.requestId());
  }

  private long count(Predicate<RequestRecord> condition) {
    return load.records().stream().filter(condition).count();
  }

  private void addCount(String name, long value) {
    rows.add(String.format(ROW, name, value, ""));
  }

  private void checkZero(String name, long value) {
    checkValue(name, value, "must be 0", value == 0);
  }

  private void checkValue(String name, long value, String bound, boolean holds) {
    allHold &= holds;
    rows.add(String.format(ROW, name, value, bound + (holds ? "" : "   BROKEN")));
  }
}
