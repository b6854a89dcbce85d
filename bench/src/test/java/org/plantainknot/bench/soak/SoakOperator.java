package org.plantainknot.bench.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.plantainknot.daemon.settings.HostPort;

/** Operator that updates the configuration and reads it back through random controllers. */
final class SoakOperator {

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;

  private final SoakSite site;
  private final SplittableRandom random;
  private long sentVersion;
  private long acknowledgedVersion;

  SoakOperator(SoakSite site, long seed) {
    this.site = site;
    this.random = new SplittableRandom(seed);
  }

  /** Retries a newer version until acknowledged; returns whether it was by the deadline. */
  boolean updateConfig(long deadlineMillis) {
    sentVersion += random.nextInt(1, 4);
    ObjectNode document = configDocument(sentVersion);
    while (site.nowMillis() < deadlineMillis) {
      int status = call(HttpMethod.PUT, document).map(HttpResponse::statusCode).orElse(0);
      if (status == OK) {
        acknowledgedVersion = sentVersion;
        return true;
      }
      if (status >= BAD_REQUEST && status < 500 && status != 429 && status != 408) {
        site.recordViolation("a valid configuration was refused with " + status);
        return false;
      }
      SoakCaller.pause(100);
    }
    return false;
  }

  /** Reads the configuration; it must not be older than the last acknowledged version. */
  void readConfig() {
    long minVersion = acknowledgedVersion;
    call(HttpMethod.GET, SoakSite.newJson())
        .filter(answer -> answer.statusCode() == OK)
        .map(answer -> answer.bodyAsJsonObject().getLong("version"))
        .filter(version -> version < minVersion)
        .ifPresent(
            version ->
                site.recordViolation(
                    "read stale version " + version + " after acknowledged version " + minVersion));
  }

  private Optional<HttpResponse<Buffer>> call(HttpMethod method, ObjectNode body) {
    List<String> controllers = site.cluster().controllers();
    HostPort address =
        site.cluster().controlAddress(controllers.get(random.nextInt(controllers.size())));
    return site.call(method, address, "/config", body);
  }

  private static ObjectNode configDocument(long version) {
    ObjectNode json = SoakSite.newJson().put("version", version);
    json.putArray("routes")
        .addObject()
        .put("name", "q")
        .put("host", SoakSite.VIRTUAL_HOST)
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
