package org.plantainknot.bench.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Operator that updates the configuration and reads it back through random controllers. */
final class SoakOperator {

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;

  private final SoakSite site;
  private final SplittableRandom random;
  private long sentVersion;
  private long acknowledgedVersion;
  private String acknowledgedBy;

  SoakOperator(SoakSite site, long seed) {
    this.site = site;
    this.random = new SplittableRandom(seed);
  }

  /** Retries a newer version until acknowledged; returns whether it was by the deadline. */
  boolean updateConfig(long deadlineMillis) {
    sentVersion += random.nextInt(1, 4);
    ObjectNode document = configDocument(sentVersion);
    while (site.nowMillis() < deadlineMillis) {
      String controller = randomController();
      int status =
          call(controller, HttpMethod.PUT, document).map(HttpResponse::statusCode).orElse(0);
      if (status == OK) {
        acknowledgedVersion = sentVersion;
        acknowledgedBy = controller;
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

  /** Returns the controller that acknowledged the latest configuration. */
  String acknowledgedBy() {
    return acknowledgedBy;
  }

  /** Reads the configuration; it must not be older than the last acknowledged version. */
  void readConfig() {
    readConfigAt(randomController());
  }

  /** Reads the configuration at each controller; each has to answer within the timeout. */
  void readConfigAtEachController(String when, long timeoutMillis) {
    long deadlineMillis = site.nowMillis() + timeoutMillis;
    List<String> pending = new ArrayList<>(site.cluster().controllers());
    while (!pending.isEmpty() && site.nowMillis() < deadlineMillis) {
      pending.removeIf(this::readConfigAt);
      SoakCaller.pause(50);
    }
    pending.forEach(
        controller ->
            site.recordViolation("the configuration can't be read at " + controller + " " + when));
  }

  /** Reads the configuration at a controller; returns whether it answered. */
  private boolean readConfigAt(String controller) {
    long minVersion = acknowledgedVersion;
    Optional<Long> version =
        call(controller, HttpMethod.GET, SoakSite.newJson())
            .filter(answer -> answer.statusCode() == OK)
            .map(answer -> answer.bodyAsJsonObject().getLong("version"));
    version
        .filter(read -> read < minVersion)
        .ifPresent(
            read ->
                site.recordViolation(
                    "read stale version " + read + " after acknowledged version " + minVersion));
    return version.isPresent();
  }

  private String randomController() {
    List<String> controllers = site.cluster().controllers();
    return controllers.get(random.nextInt(controllers.size()));
  }

  private Optional<HttpResponse<Buffer>> call(
      String controller, HttpMethod method, ObjectNode body) {
    return site.call(method, site.cluster().controlAddress(controller), "/config", body);
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
