package org.plantainknot.bench.cluster;

import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.util.List;
import org.plantainknot.bench.load.Balancer;
import org.plantainknot.bench.load.CallerLoad;
import org.plantainknot.bench.load.RequestRecord;
import org.plantainknot.bench.load.RequestRecord.Verdict;
import org.plantainknot.bench.standin.RunLog;
import org.plantainknot.bench.standin.TargetStandIn;

/** Daemons and targets under load, with checks of what callers were told and targets ran. */
final class ClusterFixture implements AutoCloseable {

  static final String HOST = DaemonSite.HOST;

  private static final long SERVICE_MILLIS = 40;
  private static final long DEADLINE_MILLIS = 1_500;
  private static final int SLOTS_PER_TARGET = 8;

  final DaemonSite site;
  final Vertx vertx;
  final Cluster cluster;
  final OperatorClient operator;
  final RunLog runLog;
  final List<TargetStandIn> targets;
  final CallerLoad load;
  final Balancer balancer;

  ClusterFixture(int port) {
    this.site = new DaemonSite(port, 1, SERVICE_MILLIS);
    this.vertx = site.vertx();
    this.cluster = site.cluster();
    this.operator = site.operator();
    this.runLog = site.runLog();
    this.targets = site.targets();
    this.balancer = site.balancer();
    this.load = new CallerLoad(vertx, balancer, DEADLINE_MILLIS, 1);
  }

  void start() {
    site.start();
    awaitGatewaysReady(6);
  }

  /** Waits until the gateways are healthy and their shares of the targets are in force. */
  void awaitGatewaysReady(int gateways) {
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
                        dump ->
                            dump.path("vms").size() == DaemonSite.SITE.vms()
                                && dump.path("gateways").path("next").isNull()
                                && dump.path("gateways").path("present").size() == gateways)
                    .orElse(false)),
        "shares in force among " + gateways);
  }

  /** Sends requests at a constant rate and blocks for the given duration. */
  void sendFor(long durationMillis, int requestsPerSecond) {
    long endNanos = System.nanoTime() + durationMillis * 1_000_000;
    int sent = 0;
    while (System.nanoTime() < endNanos) {
      load.send(sent % 2 == 0 ? "gate" : "office", sent % 5 == 0 ? "urgent" : "normal");
      sent++;
      OperatorClient.sleep(1_000 / requestsPerSecond);
    }
  }

  void awaitAnswers() {
    assertTrue(OperatorClient.await(10_000, () -> load.open() == 0), "all callers were answered");
  }

  /** Checks the guarantees that hold for every request, whichever component failed. */
  void checkGuarantees() {
    for (RequestRecord r : load.records()) {
      int runs = runLog.runs(r.requestId());
      assertTrue(!r.wrong(), "wrong answer: " + r);
      assertTrue(
          r.idempotent() || runs <= 1, "non-idempotent request run " + runs + " times: " + r);
      assertTrue(
          r.verdict() != Verdict.NOT_RUN || runs == 0, "reported as not run, but was run: " + r);
      assertTrue(r.verdict() != Verdict.ANSWERED || runs >= 1, "answered, but was not run: " + r);
    }
    assertTrue(
        runLog.mostInUse() <= SLOTS_PER_TARGET,
        "more slots in use than a target has: " + runLog.mostInUse());
  }

  long count(Verdict verdict) {
    return load.records().stream().filter(r -> r.verdict() == verdict).count();
  }

  @Override
  public void close() {
    site.close();
  }
}
