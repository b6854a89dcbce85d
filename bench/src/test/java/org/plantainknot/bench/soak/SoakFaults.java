package org.plantainknot.bench.soak;

import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Injects overlapping faults: killed, frozen or stopped processes, wiped disks, partitioned or
 * crashed workers, departures that arrive late.
 *
 * <p>At most one controller and one gateway are unavailable at a time; three voters tolerate the
 * loss of one.
 */
final class SoakFaults implements AutoCloseable {

  private static final long FAULT_END_TIMEOUT_MILLIS = 40_000;

  /** Time after its start within which a controller with an empty disk counts as lost. */
  private static final long CATCH_UP_MILLIS = 4_000;

  private final SoakSite site;
  private final SplittableRandom random;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final Set<String> unavailableGroups = new HashSet<>();
  private final List<String> log = new ArrayList<>();

  SoakFaults(SoakSite site, long seed) {
    this.site = site;
    this.random = new SplittableRandom(seed);
  }

  /** Injects a fault after a random pause. */
  void injectAfterPause() {
    SoakCaller.pause(random.nextLong(200, 1_200));
    inject();
  }

  /** Injects a random fault that ends by itself. */
  private void inject() {
    WorkerServer worker = site.workers().get(random.nextInt(site.workers().size()));
    long durationMillis = random.nextLong(200, 7_000);
    switch (random.nextInt(9)) {
      case 0 -> startNodeFault(randomController(), "kill", durationMillis / 2);
      case 1 -> startNodeFault(randomController(), "freeze", durationMillis / 2);
      case 2 -> startNodeFault(randomController(), "stop", 0);
      case 3 ->
          startNodeFault(
              randomGateway(), random.nextBoolean() ? "kill" : "stop", durationMillis / 2);
      case 4 -> partition(worker, durationMillis);
      case 5 -> {
        logFault("drop traffic on the open connections of a worker");
        worker.link().dropTrafficOnOpenConnections();
      }
      case 6 -> sendLateDeparture(worker);
      case 7 -> startNodeFault(randomController(), "wipe", durationMillis / 2);
      default -> {
        boolean sameName = random.nextBoolean();
        logFault("crash worker, same name " + sameName);
        worker.crash(sameName);
      }
    }
  }

  /** Returns the faults injected so far, for reports. */
  synchronized List<String> log() {
    return List.copyOf(log);
  }

  /** Waits until all faults have ended, then restores the links of all workers. */
  @Override
  public void close() {
    executor.shutdown();
    try {
      if (!executor.awaitTermination(FAULT_END_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
        site.recordViolation("a fault did not end within the timeout");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    site.workers().forEach(worker -> worker.link().dropTraffic(false));
  }

  private String randomController() {
    List<String> nodes = site.cluster().controllers();
    return nodes.get(random.nextInt(nodes.size()));
  }

  private String randomGateway() {
    List<String> nodes = site.cluster().gateways();
    return nodes.get(random.nextInt(nodes.size()));
  }

  private void startNodeFault(String node, String kind, long durationMillis) {
    String group = node.substring(0, 1);
    synchronized (this) {
      if (!unavailableGroups.add(group)) {
        return;
      }
    }
    logFault(kind + " " + node + " for " + durationMillis);
    executor.execute(
        () -> {
          runNodeFault(node, kind, durationMillis);
          synchronized (this) {
            unavailableGroups.remove(group);
          }
        });
  }

  private void runNodeFault(String node, String kind, long durationMillis) {
    SoakCluster cluster = site.cluster();
    switch (kind) {
      case "freeze" -> {
        cluster.process(node).freeze();
        SoakCaller.pause(durationMillis);
        cluster.process(node).thaw();
      }
      case "stop" -> {
        if (!cluster.stop(node)) {
          site.recordViolation("did not stop in time: " + node);
          cluster.process(node).kill();
        }
        cluster.restart(node);
      }
      case "wipe" -> {
        cluster.process(node).kill();
        cluster.wipe(node);
        SoakCaller.pause(durationMillis);
        cluster.restart(node);
        SoakCaller.pause(CATCH_UP_MILLIS);
      }
      default -> {
        cluster.process(node).kill();
        SoakCaller.pause(durationMillis);
        cluster.restart(node);
      }
    }
  }

  /** Sends the departure of an earlier life of a worker, and cuts the worker's connections. */
  private void sendLateDeparture(WorkerServer worker) {
    logFault("late departure of a worker, then drop traffic on its open connections");
    site.call(
        HttpMethod.DELETE,
        site.cluster().controlAddress(randomController()),
        "/instances/" + worker.workerId(),
        SoakSite.newJson());
    worker.link().dropTrafficOnOpenConnections();
  }

  private void partition(WorkerServer worker, long durationMillis) {
    logFault("partition worker for " + durationMillis);
    worker.link().dropTraffic(true);
    executor.execute(
        () -> {
          SoakCaller.pause(durationMillis);
          worker.link().dropTraffic(false);
        });
  }

  private synchronized void logFault(String fault) {
    log.add(site.nowMillis() + " ms: " + fault);
  }
}
