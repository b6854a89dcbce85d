package org.plantainknot.bench.cluster;

import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.util.List;
import org.plantainknot.bench.load.Balancer;
import org.plantainknot.bench.load.CallerLoad;
import org.plantainknot.bench.load.RequestRecord;
import org.plantainknot.bench.load.RequestRecord.Verdict;
import org.plantainknot.bench.standin.Ledger;
import org.plantainknot.bench.standin.TargetStandIn;

/** A site under load, and the oracle of its targets. */
final class ClusterFixture implements AutoCloseable {

  static final String HOST = DaemonSite.HOST;

  private static final long SERVICE_MILLIS = 40;
  private static final long DEADLINE_MILLIS = 1_500;
  private static final int SLOTS = 8;

  final DaemonSite site;
  final Vertx vertx;
  final Cluster cluster;
  final OperatorClient operator;
  final Ledger ledger;
  final List<TargetStandIn> targets;
  final CallerLoad load;
  final Balancer balancer;

  ClusterFixture(int port) {
    this.site = new DaemonSite(port, 1, SERVICE_MILLIS);
    this.vertx = site.vertx();
    this.cluster = site.cluster();
    this.operator = site.operator();
    this.ledger = site.ledger();
    this.targets = site.targets();
    this.balancer = site.balancer();
    this.load = new CallerLoad(vertx, balancer, DEADLINE_MILLIS, 1);
  }

  void start() {
    site.start();
    awaitServing(6);
  }

  void awaitServing(int gateways) {
    assertTrue(
        OperatorClient.await(15_000, () -> balancer.healthyCount() == gateways),
        gateways + " healthy gateways");
    assertTrue(
        OperatorClient.await(
            15_000,
            () ->
                operator
                    .getAny("/dump")
                    .map(
                        d ->
                            d.path("vms").size() == DaemonSite.SITE.vms()
                                && d.path("gateways").path("next").isNull()
                                && d.path("gateways").path("present").size() == gateways)
                    .orElse(false)),
        "shares in force among " + gateways);
  }

  /** Sends requests at a steady rate for a while. */
  void sendFor(long millis, int perSecond) {
    long end = System.nanoTime() + millis * 1_000_000;
    int sent = 0;
    while (System.nanoTime() < end) {
      load.send(sent % 2 == 0 ? "gate" : "office", sent % 5 == 0 ? "urgent" : "normal");
      sent++;
      OperatorClient.sleep(1_000 / perSecond);
    }
  }

  void awaitAnswers() {
    assertTrue(OperatorClient.await(10_000, () -> load.open() == 0), "all callers were answered");
  }

  /** Checks what must hold of every request, however things failed. */
  void checkPromises() {
    for (RequestRecord r : load.records()) {
      int runs = ledger.runs(r.requestId());
      assertTrue(!r.wrong(), "wrong answer: " + r);
      assertTrue(r.idempotent() || runs <= 1, "run " + runs + " times: " + r);
      assertTrue(r.verdict() != Verdict.NOT_RUN || runs == 0, "told not run, but run: " + r);
      assertTrue(r.verdict() != Verdict.ANSWERED || runs >= 1, "answered, but not run: " + r);
    }
    assertTrue(ledger.mostInUse() <= SLOTS, "slots in use: " + ledger.mostInUse());
  }

  long count(Verdict verdict) {
    return load.records().stream().filter(r -> r.verdict() == verdict).count();
  }

  @Override
  public void close() {
    site.close();
  }
}
