package standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** A manifest of queues and services. */
public final class Manifest {

  private record Route(String prefix, String service, int maxAttempts) {}

  public static final String HOST = "jobs.example";

  private final List<Route> routes = new ArrayList<>();
  private final List<String> services = new ArrayList<>();

  /** Adds a queue. */
  public Manifest route(String prefix, String service, int maxAttempts) {
    routes.add(new Route(prefix, service, maxAttempts));
    return this;
  }

  /** Adds a service. */
  public Manifest service(String name) {
    services.add(name);
    return this;
  }

  /** Returns the manifest as a version. */
  public String version(long version) {
    ObjectNode json = Http.JSON.createObjectNode().put("version", version);
    ArrayNode routeList = json.putArray("routes");
    for (Route route : routes) {
      routeList.addObject()
          .put("name", "r-" + route.prefix().replace("/", ""))
          .put("host", HOST)
          .put("path_prefix", route.prefix())
          .put("kind", "unsafe")
          .put("timeout_ms", 3_000)
          .put("target_latency_ms", 600)
          .put("priority", 0)
          .put("service", route.service())
          .put("max_attempts", route.maxAttempts())
          .put("stretch", 1.6);
    }
    ArrayNode serviceList = json.putArray("services");
    for (String service : services) {
      serviceList.addObject()
          .put("name", service)
          .put("health_path", "/health")
          .put("max_conns", 64)
          .put("protocol", "h1")
          .put("tls", false)
          .put("admission_check", true)
          .put("spare", false);
    }
    json.putObject("limits")
        .put("max_header_bytes", 16_384)
        .put("max_body_bytes", 262_144)
        .put("header_timeout_ms", 3_000)
        .put("idle_timeout_ms", 15_000);
    return json.toString();
  }

  /** Returns a submission of one step. */
  public static String submission(String payload, int count, long cpu, long estimateMillis,
      String moreFields) {
    return "{\"spec\":\"" + payload + "\",\"steps\":[{\"count\":" + count + ",\"cpu\":" + cpu
        + ",\"mem_mb\":256,\"estimate_ms\":" + estimateMillis + moreFields + "}]}";
  }

  /** Returns an ID of 16 hexadecimal digits. */
  public static String id(int number) {
    return String.format("5c0e7a21%08x", number);
  }
}
