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

/** A cluster, its workers and its callers on one machine. */
final class SoakSite implements AutoCloseable {

  static final String HOST = "h";

  private static final int CONTROLLERS = 3;
  private static final int GATEWAYS = 2;
  private static final int WORKERS = 4;
  private static final int MACHINES_PORT = 7007;
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long CALL_MILLIS = 1_500;

  private final long startNanos = System.nanoTime();
  private final Object lock = new Object();
  private final List<String> broken = new CopyOnWriteArrayList<>();
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
    HostPort machines = new HostPort("127.1." + subnet + ".200", MACHINES_PORT);
    vertx
        .createHttpServer()
        .requestHandler(request -> request.response().end("{\"machines\":[]}"))
        .listen(machines.port(), machines.host());
    this.cluster = new SoakCluster(folder, subnet, CONTROLLERS, GATEWAYS, machines);
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

  Path folder() {
    return folder;
  }

  /** Returns the promises that were seen broken, each once. */
  List<String> broken() {
    return broken.stream().distinct().toList();
  }

  void isBroken(String promise) {
    broken.add(nowMillis() + " ms: " + promise);
  }

  long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /** Runs a step of the workers or of the oracle, and keeps what the oracle finds. */
  void judged(Runnable step) {
    synchronized (lock) {
      try {
        step.run();
      } catch (AssertionError e) {
        isBroken(e.getMessage());
      }
    }
  }

  DispatchOracle oracle() {
    return oracle;
  }

  void start() {
    cluster.startAll();
    vertx.setPeriodic(HEARTBEAT_MILLIS, id -> workers.forEach(this::sendHeartbeat));
  }

  /** Returns the answer to a call, or empty if none came. */
  Optional<HttpResponse<Buffer>> call(
      HttpMethod method, HostPort address, String path, ObjectNode body) {
    try {
      return Optional.of(
          client
              .request(method, address.port(), address.host(), path)
              .virtualHost(HOST)
              .timeout(CALL_MILLIS)
              .sendBuffer(Buffer.buffer(body.toString()))
              .toCompletionStage()
              .toCompletableFuture()
              .get(2 * CALL_MILLIS, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } catch (ExecutionException | TimeoutException e) {
      return Optional.empty();
    }
  }

  static ObjectNode json() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Workers go on to the next controller while they have no answer. */
  private void sendHeartbeat(WorkerServer worker) {
    sendHeartbeat(worker.heartbeat(), 0);
  }

  private void sendHeartbeat(WorkerServer.HeartbeatCall call, int attempt) {
    if (attempt == CONTROLLERS || closed) {
      return;
    }
    HostPort address = cluster.control(cluster.controllers().get(attempt));
    client
        .put(address.port(), address.host(), "/instances/" + call.worker())
        .timeout(HEARTBEAT_MILLIS)
        .sendBuffer(Buffer.buffer(call.body()))
        .onComplete(
            answer -> {
              if (answer.failed() || answer.result().statusCode() != 200) {
                sendHeartbeat(call, attempt + 1);
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
