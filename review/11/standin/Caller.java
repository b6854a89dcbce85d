import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The requesters and the operator: sends what they send, again where it gets no clear answer. */
final class Caller {

  static final String HOST = "counter.example";
  private static final long DEADLINE_MILLIS = 3_000;
  private static final long PAUSE_MILLIS = 100;

  private final Deployment deployment;
  private final Trace trace;
  private int next;

  Caller(Deployment deployment, Trace trace) {
    this.deployment = deployment;
    this.trace = trace;
  }

  static Map<String, Object> route(String name, String prefix, String service, int attempts) {
    return Json.map(
        "name", name,
        "host", HOST,
        "path_prefix", prefix,
        "kind", "unsafe",
        "timeout_ms", 3_000,
        "target_latency_ms", 600,
        "priority", 0,
        "service", service,
        "max_attempts", attempts,
        "stretch", 1.6);
  }

  static Map<String, Object> manifest(
      long version, List<Map<String, Object>> routes, List<String> services) {
    List<Object> rows = new ArrayList<>();
    for (String service : services) {
      rows.add(
          Json.map(
              "name", service,
              "health_path", "/health",
              "max_conns", 64,
              "protocol", "h1",
              "tls", false,
              "admission_check", true,
              "spare", false));
    }
    return Json.map(
        "version", version,
        "routes", routes,
        "services", rows,
        "limits",
        Json.map(
            "max_header_bytes", 16_384,
            "max_body_bytes", 262_144,
            "header_timeout_ms", 3_000,
            "idle_timeout_ms", 15_000));
  }

  /** Sends an operator's order to one node after the other until it is acknowledged. */
  boolean order(String method, String path, Object body, long limitMillis) {
    String text = body == null ? "" : Json.write(body);
    long deadline = Trace.now() + limitMillis;
    List<String> nodes = deployment.controlAddresses();
    while (Trace.now() < deadline) {
      String node = nodes.get(next++ % nodes.size());
      Http.Answer answer = Http.call(method, node, path, text, 1_000);
      if (answer.status() == 200) {
        trace.log("%s %s is acknowledged by %s", method, path, node);
        return true;
      }
      Http.sleep(PAUSE_MILLIS);
    }
    trace.log("%s %s has no acknowledgement", method, path);
    return false;
  }

  /** Returns the answer to an operator's read of a wave, or an empty text. */
  String waveState(long wave) {
    List<String> nodes = deployment.controlAddresses();
    String node = nodes.get(next++ % nodes.size());
    Http.Answer answer = Http.call("GET", node, "/wave-get/" + wave, "", 1_000);
    return answer.status() == 200 ? Json.string(Json.object(answer.body()), "state") : "";
  }

  /** Hands in a submission, again until it is accepted or the limit has passed. */
  boolean submit(String path, Map<String, Object> submission, long limitMillis) {
    long deadline = Trace.now() + limitMillis;
    while (Trace.now() < deadline) {
      Http.Answer answer = request("POST", path, Json.write(submission));
      if (answer.status() / 100 == 2) {
        trace.log("submission %s is accepted", path);
        return true;
      }
      Http.sleep(PAUSE_MILLIS);
    }
    trace.log("submission %s isn't accepted", path);
    return false;
  }

  Http.Answer request(String method, String path, String body) {
    String front = deployment.frontAddress(next++);
    return Http.call(method, front, path, body, DEADLINE_MILLIS, HOST);
  }

  /** Returns the state that is shown for a submission, or the status of another answer. */
  String state(String path) {
    Http.Answer answer = request("GET", path, "");
    return answer.status() == 200
        ? Json.string(Json.object(answer.body()), "state")
        : Integer.toString(answer.status());
  }
}
