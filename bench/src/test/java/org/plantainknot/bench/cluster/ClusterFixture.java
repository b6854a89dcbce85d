package org.plantainknot.bench.cluster;

import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.plantainknot.bench.load.Balancer;
import org.plantainknot.bench.load.CallerLoad;
import org.plantainknot.bench.load.RequestRecord;
import org.plantainknot.bench.load.RequestRecord.Verdict;
import org.plantainknot.bench.standin.Ledger;
import org.plantainknot.bench.standin.TargetStandIn;

/** Six daemons with the stand-ins of a small site, and the oracle of the targets. */
final class ClusterFixture implements AutoCloseable {

  static final String HOST = "127.0.0.1";
  static final SiteLayout SITE = new SiteLayout(List.of("gate", "office"), 12, 2);

  private static final long SERVICE_MILLIS = 40;
  private static final long DEADLINE_MILLIS = 1_500;

  final Vertx vertx = Vertx.vertx();
  final Cluster cluster;
  final OperatorClient operator;
  final Ledger ledger = new Ledger();
  final List<TargetStandIn> targets = new ArrayList<>();
  final CallerLoad load;
  final Balancer balancer;
  final Path folder;

  ClusterFixture(int port) {
    try {
      this.folder = Files.createTempDirectory("plantainknot-test");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    this.cluster = new Cluster(folder, port, Map.of("limits.requestMaxMillis", "2000"));
    this.operator = new OperatorClient(cluster.operatorAddresses());
    this.balancer = new Balancer(vertx, cluster.callerAddresses());
    this.load = new CallerLoad(vertx, balancer, DEADLINE_MILLIS, 1);
    long seed = 1;
    for (var place : SITE.places(HOST, cluster.freePort() + 20)) {
      targets.add(
          new TargetStandIn(
              vertx, place, cluster.callerAddresses(), ledger, SERVICE_MILLIS, seed++));
    }
  }

  void start() {
    cluster.start();
    targets.forEach(TargetStandIn::start);
    Map<String, Object> body = Map.of("voters", cluster.voters());
    assertTrue(
        OperatorClient.await(
            15_000,
            () -> operator.post(cluster.nodes().get(0).operator(), "/cluster/form", body) == 200),
        "cluster formed");
    assertTrue(
        OperatorClient.await(10_000, () -> operator.enact(SITE.initialTicket(1))), "ticket 1");
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
                            d.path("vms").size() == SITE.vms()
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
    assertTrue(ledger.mostInUse() <= 8, "slots in use: " + ledger.mostInUse());
  }

  long count(Verdict verdict) {
    return load.records().stream().filter(r -> r.verdict() == verdict).count();
  }

  @Override
  public void close() {
    cluster.close();
    vertx.close();
  }
}
