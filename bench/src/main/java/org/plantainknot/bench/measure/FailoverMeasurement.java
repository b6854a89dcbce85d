package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.plantainknot.bench.cluster.DaemonSite;
import org.plantainknot.bench.cluster.NodeLayout;
import org.plantainknot.bench.cluster.OperatorClient;
import org.plantainknot.bench.load.CallerLoad;
import org.plantainknot.bench.load.RequestRecord.Verdict;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.PoolState;

/**
 * Measures the unavailability after the loss of the leader, the time of a restart, and the commit
 * throughput of the log, on real daemons.
 */
final class FailoverMeasurement {

  private static final long MEAN_SERVICE_MILLIS = 20;
  private static final int BASE_PORT = 25_000;
  private static final int TICKETS = 1_000;
  private static final int THREADS = 16;
  private static final long LIMIT_MILLIS = 20_000;
  private static final long COMMIT_MILLIS = 4_000;
  private static final long DEADLINE_MILLIS = 1_500;

  private final long seed;
  private long nextNumber = 10;

  FailoverMeasurement(long seed) {
    this.seed = seed;
  }

  ObjectNode run() {
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "failover").put("seed", seed).put("source", "daemons");
    try (DaemonSite site = new DaemonSite(BASE_PORT, seed, MEAN_SERVICE_MILLIS)) {
      site.start();
      measureLeaderFailures(site, figures);
      measureRestart(site, figures);
    }
    double parallel = commitsPerSecond(BASE_PORT + 100, "true");
    double sequential = commitsPerSecond(BASE_PORT + 200, "false");
    figures.put("commits_per_second", Math.round(parallel));
    figures.put("commits_per_second_sequential", Math.round(sequential));
    figures.put("parallel_sync_gain", Math.round(parallel / sequential * 1_000) / 1_000.0);
    return figures;
  }

  private void measureLeaderFailures(DaemonSite site, ObjectNode figures) {
    CallerLoad load = new CallerLoad(site.vertx(), site.balancer(), DEADLINE_MILLIS, seed);
    Thread sender = new Thread(() -> sendSteadily(load), "load");
    sender.start();
    OperatorClient.sleep(1_000);
    String killedNode = site.operator().leader();
    site.cluster().process(killedNode).kill();
    figures.put("kill_unavailable_millis", unavailableMillis(site, killedNode));
    site.cluster().start(killedNode);
    OperatorClient.await(LIMIT_MILLIS, () -> site.balancer().healthyCount() == 6);
    String frozenNode = site.operator().leader();
    site.cluster().process(frozenNode).freeze();
    figures.put("freeze_unavailable_millis", unavailableMillis(site, frozenNode));
    site.cluster().process(frozenNode).thaw();
    OperatorClient.await(LIMIT_MILLIS, () -> site.balancer().healthyCount() == 6);
    sender.interrupt();
    OperatorClient.await(LIMIT_MILLIS, () -> load.open() == 0);
    figures.put("caller_requests", load.records().size());
    figures.put(
        "caller_failures",
        load.records().stream().filter(r -> r.verdict() != Verdict.ANSWERED).count());
  }

  private static void sendSteadily(CallerLoad load) {
    for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
      load.send(i % 2 == 0 ? "gate" : "office", "normal");
      OperatorClient.sleep(10);
    }
  }

  /** Returns the time until one of the other daemons accepts a ticket. */
  private long unavailableMillis(DaemonSite site, String failedNode) {
    long startNanos = System.nanoTime();
    Ticket ticket = ticket(nextNumber++);
    List<NodeLayout> others =
        site.cluster().nodes().stream().filter(n -> !n.name().equals(failedNode)).toList();
    OperatorClient.await(
        LIMIT_MILLIS,
        () ->
            others.stream()
                .anyMatch(n -> site.operator().post(n.operator(), "/tickets", ticket) == 200));
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private void measureRestart(DaemonSite site, ObjectNode figures) {
    long first = nextNumber;
    for (; nextNumber < first + TICKETS; nextNumber++) {
      site.operator().postAny("/tickets", ticket(nextNumber));
    }
    long last = nextNumber - 1;
    String node = site.cluster().voters().get(0);
    NodeLayout layout =
        site.cluster().nodes().stream().filter(n -> n.name().equals(node)).findFirst().get();
    site.cluster().process(node).kill();
    long startNanos = System.nanoTime();
    site.cluster().start(node);
    boolean restarted =
        OperatorClient.await(
            LIMIT_MILLIS,
            () -> site.operator().get(layout.operator(), "/tickets/" + last).isPresent());
    long elapsedMillis = (System.nanoTime() - startNanos) / 1_000_000;
    figures.put("restart_1000_tickets_millis", restarted ? elapsedMillis : -1);
  }

  private double commitsPerSecond(int basePort, String parallelSync) {
    Map<String, String> settings = Map.of("log.parallelSync", parallelSync);
    try (DaemonSite site = new DaemonSite(basePort, seed, MEAN_SERVICE_MILLIS, settings)) {
      site.start();
      AtomicInteger commits = new AtomicInteger();
      AtomicInteger number = new AtomicInteger(1_000);
      long end = System.nanoTime() + COMMIT_MILLIS * 1_000_000;
      Thread[] threads = new Thread[THREADS];
      for (int i = 0; i < THREADS; i++) {
        threads[i] =
            new Thread(
                () -> {
                  while (System.nanoTime() < end) {
                    Ticket ticket = ticket(number.incrementAndGet());
                    boolean done = site.operator().postAny("/tickets", ticket) == 200;
                    commits.addAndGet(done ? 1 : 0);
                  }
                });
        threads[i].start();
      }
      for (Thread thread : threads) {
        thread.join();
      }
      return commits.get() * 1_000.0 / COMMIT_MILLIS;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private static Ticket ticket(long number) {
    List<PoolState> pools = List.of(new PoolState("pool" + number));
    return new Ticket(number, Ticket.ON_APPROVAL, "measure", pools, null, null, null);
  }
}
