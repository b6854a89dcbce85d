package org.plantainknot.bench.load;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.plantainknot.daemon.settings.HostPort;

/** Stand-in for the platform's load balancer: round-robin over the healthy entry VMs. */
public final class Balancer {

  private static final long CHECK_MILLIS = 200;
  private static final int TIMEOUT_MILLIS = 300;
  private static final int OK = 200;

  private final List<HostPort> entries;
  private final CopyOnWriteArrayList<HostPort> healthy = new CopyOnWriteArrayList<>();
  private final AtomicInteger next = new AtomicInteger();
  private final HttpClient client;

  /** Creates a balancer and starts the periodic health checks. */
  public Balancer(Vertx vertx, List<HostPort> entries) {
    this.entries = List.copyOf(entries);
    this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(TIMEOUT_MILLIS));
    vertx.setPeriodic(1, CHECK_MILLIS, id -> this.entries.forEach(this::check));
  }

  /** Returns the next healthy entry VM or, if none is healthy, the next of all. */
  public HostPort choose() {
    List<HostPort> candidates = healthy.isEmpty() ? entries : List.copyOf(healthy);
    return candidates.get(Math.floorMod(next.incrementAndGet(), candidates.size()));
  }

  /** Returns the number of healthy entry VMs. */
  public int healthyCount() {
    return healthy.size();
  }

  private void check(HostPort entry) {
    RequestOptions options =
        new RequestOptions()
            .setHost(entry.host())
            .setPort(entry.port())
            .setMethod(HttpMethod.GET)
            .setURI("/-/health")
            .setTimeout(TIMEOUT_MILLIS);
    client
        .request(options)
        .compose(request -> request.send())
        .onSuccess(response -> setHealthy(entry, response.statusCode() == OK))
        .onFailure(failure -> setHealthy(entry, false));
  }

  private void setHealthy(HostPort entry, boolean isHealthy) {
    if (isHealthy) {
      healthy.addIfAbsent(entry);
    } else {
      healthy.remove(entry);
    }
  }
}
