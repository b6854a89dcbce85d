package org.plantainknot.bench.soak;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.plantainknot.core.schedule.DispatchOracle;
import org.plantainknot.daemon.settings.HostPort;

/** A cluster, its workers and the HTTP client of its callers on one machine. */
final class SoakSite implements AutoCloseable {

  static final String VIRTUAL_HOST = "h";

  private static final int[] CONTROLLERS = {3, 5};
  private static final int GATEWAYS = 2;
  private static final int WORKERS = 4;
  private static final int MACHINES_PORT = 7007;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
  private static final long CALL_TIMEOUT_MILLIS = 1_500;

  private final long startNanos = System.nanoTime();
  private final Object lock = new Object();
  private final List<String> violations = new CopyOnWriteArrayList<>();
  private final DispatchOracle oracle = new DispatchOracle();
  private final Vertx vertx = Vertx.vertx();
  private final WebClient client = WebClient.create(vertx);
  private final List<WorkerServer> workers = new ArrayList<>();
  private volatile boolean closed;
  private final Path folder;
  private final SoakCluster cluster;

  SoakSite(int subnet, long seed) {
    try {
      this.folder = Files.createTempDirectory("plantainknot-soak");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    HostPort machinesAddress = new HostPort("127.1." + subnet + ".200", MACHINES_PORT);
    vertx
        .createHttpServer()
        .requestHandler(request -> request.response().end("{\"machines\":[]}"))
        .listen(machinesAddress.port(), machinesAddress.host());
    this.cluster =
        new SoakCluster(
            folder,
            subnet,
            CONTROLLERS[(int) (seed % CONTROLLERS.length)],
            GATEWAYS,
            machinesAddress);
    for (int i = 0; i < WORKERS; i++) {
      String host = "127.1." + subnet + "." + (201 + i);
      workers.add(new WorkerServer(this, vertx, host, i, oracle, seed + i));
    }
  }

  SoakCluster cluster() {
    return cluster;
  }

  List<WorkerServer> workers() {
    return workers;
  }

  /** Returns the number of cores of all workers. */
  long workerCores() {
    return WORKERS * WorkerServer.CAPACITY.milliCores() / 1_000;
  }

  Path folder() {
    return folder;
  }

  /** Returns the distinct violations recorded so far. */
  List<String> violations() {
    return violations.stream().distinct().toList();
  }

  void recordViolation(String violation) {
    violations.add(nowMillis() + " ms: " + violation);
  }

  long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /** Runs a step of the workers or the oracle under the lock; records a failed assertion. */
  void runChecked(Runnable step) {
    synchronized (lock) {
      try {
        step.run();
      } catch (AssertionError e) {
        recordViolation(e.getMessage());
      }
    }
  }

  DispatchOracle oracle() {
    return oracle;
  }

  void start() {
    cluster.startAll();
    vertx.setPeriodic(HEARTBEAT_INTERVAL_MILLIS, id -> workers.forEach(this::sendHeartbeat));
  }

  /** Returns the response to a call, or empty if it failed or timed out. */
  Optional<HttpResponse<Buffer>> call(
      HttpMethod method, HostPort address, String path, ObjectNode body) {
    try {
      return Optional.of(
          client
              .request(method, address.port(), address.host(), path)
              .virtualHost(VIRTUAL_HOST)
              .timeout(CALL_TIMEOUT_MILLIS)
              .sendBuffer(Buffer.buffer(body.toString()))
              .toCompletionStage()
              .toCompletableFuture()
              .get(2 * CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } catch (ExecutionException | TimeoutException e) {
      return Optional.empty();
    }
  }

  static ObjectNode newJson() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Sends a heartbeat to the controllers in order until one of them acknowledges it. */
  private void sendHeartbeat(WorkerServer worker) {
    sendHeartbeat(worker.heartbeat(), 0);
  }

  private void sendHeartbeat(WorkerServer.HeartbeatRequest heartbeat, int attempt) {
    if (attempt == cluster.controllers().size() || closed) {
      return;
    }
    HostPort address = cluster.controlAddress(cluster.controllers().get(attempt));
    client
        .put(address.port(), address.host(), "/instances/" + heartbeat.worker())
        .timeout(HEARTBEAT_INTERVAL_MILLIS)
        .sendBuffer(Buffer.buffer(heartbeat.body()))
        .onComplete(
            answer -> {
              if (answer.failed() || answer.result().statusCode() != 200) {
                sendHeartbeat(heartbeat, attempt + 1);
              }
            });
  }

  @Override
  public void close() {
    closed = true;
    cluster.close();
    vertx.close();
  }
}
