package org.plantainknot.bench.measure;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.plantainknot.bench.cluster.Cluster;
import org.plantainknot.bench.cluster.NodeLayout;
import org.plantainknot.bench.cluster.OperatorClient;
import org.plantainknot.bench.cluster.SiteLayout;
import org.plantainknot.bench.load.Balancer;
import org.plantainknot.bench.standin.Ledger;
import org.plantainknot.bench.standin.TargetPlace;
import org.plantainknot.bench.standin.TargetStandIn;
import org.plantainknot.core.ticket.Ticket;

/** Six daemons and the targets of a small site, for measurements. */
final class DaemonSite implements AutoCloseable {

  static final String HOST = "127.0.0.1";
  static final SiteLayout SITE = new SiteLayout(List.of("gate", "office"), 12, 2);

  private static final long START_MILLIS = 20_000;
  private static final long SERVICE_MILLIS = 20;

  private final Vertx vertx = Vertx.vertx();
  private final Cluster cluster;
  private final OperatorClient operator;
  private final Ledger ledger = new Ledger();
  private final Balancer balancer;
  private final List<TargetStandIn> targets = new ArrayList<>();

  DaemonSite(int basePort, long seed) {
    this(basePort, seed, Map.of("limits.requestMaxMillis", "2000"));
  }

  DaemonSite(int basePort, long seed, Map<String, String> settings) {
    try {
      this.cluster =
          new Cluster(Files.createTempDirectory("plantainknot-measure"), basePort, settings);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    this.operator = new OperatorClient(cluster.operatorAddresses());
    this.balancer = new Balancer(vertx, cluster.callerAddresses());
    long targetSeed = seed;
    for (TargetPlace place : SITE.places(HOST, cluster.freePort() + 20)) {
      targets.add(
          new TargetStandIn(
              vertx, place, cluster.callerAddresses(), ledger, SERVICE_MILLIS, targetSeed++));
    }
  }

  Vertx vertx() {
    return vertx;
  }

  Cluster cluster() {
    return cluster;
  }

  OperatorClient operator() {
    return operator;
  }

  Balancer balancer() {
    return balancer;
  }

  Ledger ledger() {
    return ledger;
  }

  /** Starts all, and waits until all daemons take requests. */
  void start() {
    cluster.start();
    targets.forEach(TargetStandIn::start);
    Map<String, Object> body = Map.of("voters", cluster.voters());
    require(
        OperatorClient.await(
            START_MILLIS,
            () -> operator.post(cluster.nodes().get(0).operator(), "/cluster/form", body) == 200));
    require(OperatorClient.await(START_MILLIS, () -> operator.enact(SITE.initialTicket(1))));
    require(OperatorClient.await(START_MILLIS, () -> balancer.healthyCount() == 6));
  }

  /** Returns a node that doesn't lead and has no data folder. */
  String follower() {
    return cluster.nodes().stream()
        .filter(node -> !node.voter())
        .map(NodeLayout::name)
        .findFirst()
        .orElseThrow();
  }

  /** Enacts a ticket and returns the time from its approval until it is in force. */
  long inForceMillis(Ticket ticket) {
    require(operator.enact(ticket));
    require(
        OperatorClient.await(
            START_MILLIS,
            () ->
                List.of("IN_FORCE", "COMPLETE").contains(operator.ticketStatus(ticket.number()))));
    return operator
        .getAny("/tickets/" + ticket.number())
        .map(t -> t.path("inForceAtMillis").asLong() - t.path("approvedAtMillis").asLong())
        .orElseThrow();
  }

  static void require(boolean condition) {
    if (!condition) {
      throw new IllegalStateException("the site of the measurement did not come up");
    }
  }

  @Override
  public void close() {
    cluster.close();
    vertx.close();
  }
}
