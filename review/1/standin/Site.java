package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A small deployment with its runners, its operator and its requesters. */
final class Site implements AutoCloseable {

  static final String SERVICE = "svc";
  static final String HOST = "q.example";
  static final String PREFIX = "/q/";

  private static final long START_TIMEOUT_MILLIS = 30_000;
  private static final long CALL_TIMEOUT_MILLIS = 3_000;

  private final Recorder recorder;
  private final Deployment deployment;
  private final MachineService machines;
  private final Gangs gangs = new Gangs();
  private final Map<Integer, Runner> runners = new TreeMap<>();
  private final HttpClients client = new HttpClients();
  private int nextGateway;

  Site(Path root, Recorder recorder) throws IOException {
    this.recorder = recorder;
    this.deployment = new Deployment(root, recorder);
    this.machines = new MachineService(recorder, deployment.platformAddress());
  }

  Deployment deployment() {
    return deployment;
  }

  /** Starts the processes and the runners, and puts the first manifest. */
  void start(Work work, int runnerCount, long milliCores) throws IOException, CaseFailure {
    deployment.startAll();
    List<String> controllers = new ArrayList<>();
    Deployment.controllers().forEach(node -> controllers.add(deployment.controlAddress(node)));
    for (int i = 0; i < runnerCount; i++) {
      startRunner("w" + i, i, work, milliCores);
    }
    long deadlineMillis = recorder.nowMillis() + START_TIMEOUT_MILLIS;
    for (int i = 0; recorder.nowMillis() < deadlineMillis; i++) {
      String address = controllers.get(i % controllers.size());
      int status = client.call("PUT", address, "/config", "", manifest(), 1_000).status();
      if (status == 200) {
        recorder.event("operator", "PUT /config version 1 -> 200");
        pause(2_000);
        return;
      }
      pause(200);
    }
    throw new CaseFailure("no controller has acknowledged the manifest");
  }

  /** Starts a runner at one of the runners' addresses. */
  void startRunner(String name, int place, Work work, long milliCores) throws IOException {
    List<String> controllers = new ArrayList<>();
    Deployment.controllers().forEach(node -> controllers.add(deployment.controlAddress(node)));
    String host = deployment.host(31 + place);
    Runner runner =
        new Runner(recorder, work, gangs, name, SERVICE, host, milliCores, controllers);
    runners.put(place, runner);
    machines.put(place, runner);
  }

  /** Returns the runner at one of the runners' addresses. */
  Runner runner(int place) {
    return runners.get(place);
  }

  private static String manifest() {
    ObjectNode json = HttpClients.JSON.createObjectNode();
    json.put("version", 1);
    ObjectNode route = json.putArray("routes").addObject();
    route.put("name", "r-q").put("host", HOST).put("path_prefix", PREFIX).put("kind", "unsafe");
    route.put("timeout_ms", 3_000).put("target_latency_ms", 600).put("priority", 0);
    route.put("service", SERVICE).put("max_attempts", 4).put("stretch", 1.6);
    ArrayNode services = json.putArray("services");
    ObjectNode service = services.addObject().put("name", SERVICE).put("health_path", "/health");
    service.put("max_conns", 64).put("protocol", "h1").put("tls", false);
    service.put("admission_check", true).put("spare", false);
    ObjectNode limits = json.putObject("limits");
    limits.put("max_header_bytes", 16_384).put("max_body_bytes", 262_144);
    limits.put("header_timeout_ms", 3_000).put("idle_timeout_ms", 15_000);
    return json.toString();
  }

  /** Sends one call of a requester to the next gateway and records the status. */
  HttpClients.Response call(String method, String id, String body) {
    List<String> gateways = Deployment.gateways();
    String gateway = gateways.get(nextGateway++ % gateways.size());
    return callAt(gateway, method, id, body);
  }

  /** Sends one call of a requester to a gateway and records the status. */
  HttpClients.Response callAt(String gateway, String method, String id, String body) {
    String address = deployment.callerAddress(gateway);
    HttpClients.Response response =
        client.call(method, address, PREFIX + id, HOST, body, CALL_TIMEOUT_MILLIS);
    String shown = method.equals("GET") ? " " + response.body() : "";
    recorder.event(
        "requester",
        method + " " + PREFIX + id + " at " + gateway + " -> " + response.status() + shown);
    return response;
  }

  /** Submits until the submission is accepted; fails if it isn't within the given time. */
  void submit(String id, String body, long withinMillis) throws CaseFailure {
    long deadlineMillis = recorder.nowMillis() + withinMillis;
    while (recorder.nowMillis() < deadlineMillis) {
      if (call("POST", id, body).status() == 200) {
        return;
      }
      pause(300);
    }
    throw new CaseFailure("submission " + id + " isn't accepted");
  }

  /** Returns the state of a submission as shown, or an empty text if no answer came in time. */
  String state(String id, long withinMillis) {
    long deadlineMillis = recorder.nowMillis() + withinMillis;
    while (recorder.nowMillis() < deadlineMillis) {
      HttpClients.Response response = call("GET", id, null);
      if (response.status() == 200) {
        return response.json().path("state").asText("");
      } else if (response.status() == 410) {
        return "410";
      }
      pause(500);
    }
    return "";
  }

  /** Asks until a submission is shown in the given state; returns whether it was in time. */
  boolean awaitState(String id, String wanted, long withinMillis) {
    long deadlineMillis = recorder.nowMillis() + withinMillis;
    while (recorder.nowMillis() < deadlineMillis) {
      if (state(id, deadlineMillis - recorder.nowMillis()).equals(wanted)) {
        return true;
      }
      pause(1_000);
    }
    return false;
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    deployment.close();
    runners.values().forEach(Runner::close);
    machines.close();
  }
}
