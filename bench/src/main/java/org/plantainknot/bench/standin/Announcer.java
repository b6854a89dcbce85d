package org.plantainknot.bench.standin;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainknot.daemon.settings.HostPort;

/** HTTP client through which all targets of a Vert.x instance announce themselves. */
final class Announcer {

  private static final Map<Vertx, Announcer> ANNOUNCERS = new ConcurrentHashMap<>();
  private static final long TIMEOUT_MILLIS = 1_000;

  private final HttpClient client;

  private Announcer(HttpClient client) {
    this.client = client;
  }

  static Announcer of(Vertx vertx, int connectTimeoutMillis) {
    return ANNOUNCERS.computeIfAbsent(
        vertx,
        v ->
            new Announcer(
                v.createHttpClient(
                    new HttpClientOptions().setConnectTimeout(connectTimeoutMillis))));
  }

  /** Sends an announcement without retry, as announcements are repeated periodically. */
  void post(HostPort entry, JsonObject body) {
    RequestOptions options =
        new RequestOptions()
            .setHost(entry.host())
            .setPort(entry.port())
            .setMethod(HttpMethod.POST)
            .setURI("/-/announce")
            .setTimeout(TIMEOUT_MILLIS);
    client
        .request(options)
        .compose(request -> request.send(body.toBuffer()))
        .compose(response -> response.body());
  }
}
