package org.plantainknot.bench.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.plantainknot.daemon.settings.HostPort;

/** Operator that changes the configuration, and reads it back from any controller. */
final class SoakOperator {

  private static final int OK = 200;
  private static final int BAD = 400;

  private final SoakSite site;
  private final SplittableRandom random;
  private long sentVersion;
  private long acknowledgedVersion;

  SoakOperator(SoakSite site, long seed) {
    this.site = site;
    this.random = new SplittableRandom(seed);
  }

  /** Sends the next version until it is acknowledged or the time is over; returns whether it is. */
  boolean change(long deadlineMillis) {
    sentVersion += random.nextInt(1, 4);
    ObjectNode document = document(sentVersion);
    while (site.nowMillis() < deadlineMillis) {
      int status = call(HttpMethod.PUT, document).map(HttpResponse::statusCode).orElse(0);
      if (status == OK) {
        acknowledgedVersion = sentVersion;
        return true;
      }
      if (status >= BAD && status < 500 && status != 429 && status != 408) {
        site.isBroken("a valid configuration was refused with " + status);
        return false;
      }
      SoakCaller.pause(100);
    }
    return false;
  }

  /** Reads the configuration at any controller; it may not be older than what was acknowledged. */
  void read() {
    long least = acknowledgedVersion;
    call(HttpMethod.GET, SoakSite.json())
        .filter(answer -> answer.statusCode() == OK)
        .map(answer -> answer.bodyAsJsonObject().getLong("version"))
        .filter(version -> version < least)
        .ifPresent(version -> site.isBroken("read version " + version + " after " + least));
  }

  private Optional<HttpResponse<Buffer>> call(HttpMethod method, ObjectNode body) {
    List<String> controllers = site.cluster().controllers();
    HostPort address = site.cluster().control(controllers.get(random.nextInt(controllers.size())));
    return site.call(method, address, "/config", body);
  }

  private static ObjectNode document(long version) {
    ObjectNode json = SoakSite.json().put("version", version);
    json.putArray("routes")
        .addObject()
        .put("name", "q")
        .put("host", SoakSite.HOST)
        .put("path_prefix", "/q/")
        .put("service", "s")
        .put("kind", "unsafe")
        .put("priority", 0)
        .put("max_attempts", 1_000)
        .put("stretch", 2)
        .put("target_latency_ms", 600)
        .put("timeout_ms", 3_000 + version);
    json.putArray("services").addObject().put("name", "s").put("spare", false);
    return json;
  }
}
