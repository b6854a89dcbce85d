package org.plantainknot.bench.standin;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Stand-in for the platform that reboots VMs. A repeated order has no further effect. */
public final class PlatformStandIn {

  private static final String DONE = "done";

  private final Vertx vertx;
  private final Map<String, TargetStandIn> targetByVm;
  private final long rebootMillis;
  private final Map<String, String> stateByOrder = new ConcurrentHashMap<>();
  private HttpServer server;

  /** Creates a platform that manages the VMs of the given targets. */
  public PlatformStandIn(Vertx vertx, Collection<TargetStandIn> targets, long rebootMillis) {
    this.vertx = vertx;
    this.rebootMillis = rebootMillis;
    this.targetByVm =
        targets.stream().collect(Collectors.toMap(TargetStandIn::vm, Function.identity()));
  }

  /** Starts the HTTP server. */
  public void start(String host, int port) {
    server = vertx.createHttpServer().requestHandler(this::handle);
    server.listen(port, host);
  }

  /** Returns the number of completed reboots. */
  public long reboots() {
    return stateByOrder.values().stream().filter(DONE::equals).count();
  }

  private void handle(HttpServerRequest request) {
    String[] parts = request.path().split("/");
    if (parts.length != 5 || !targetByVm.containsKey(parts[2])) {
      request.response().setStatusCode(404).end();
      return;
    }
    String order = parts[4];
    if (stateByOrder.putIfAbsent(order, "running") == null) {
      targetByVm.get(parts[2]).reboot(rebootMillis, () -> stateByOrder.put(order, DONE));
    }
    request.response().end(new JsonObject().put("state", stateByOrder.get(order)).encode());
  }
}
