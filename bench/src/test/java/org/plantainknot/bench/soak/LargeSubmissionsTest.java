package org.plantainknot.bench.soak;

import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.plantainknot.bench.cluster.OperatorClient;
import org.plantainknot.daemon.settings.HostPort;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests controllers to which many large submissions come at once. */
public class LargeSubmissionsTest {

  private static final int SUBNET = 211;
  private static final int CONTROLLERS = 3;
  private static final int GATEWAYS = 2;
  private static final int SUBMISSIONS = 56;
  private static final int STEPS = 9_500;
  private static final long START_TIMEOUT_MILLIS = 20_000;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;

  private final HttpClient client = HttpClient.newHttpClient();
  private SoakCluster cluster;

  @BeforeMethod
  void start() throws IOException {
    Path folder = Files.createTempDirectory("plantainknot-large-submissions");
    HostPort noMachines = new HostPort("127.1." + SUBNET + ".200", 7007);
    cluster = new SoakCluster(folder, SUBNET, CONTROLLERS, GATEWAYS, noMachines);
    cluster.startAll();
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  /** Guards against controllers that end or lose their leader again and again. */
  @Test
  void eachLargeSubmissionIsAnsweredAndNoControllerEnds() {
    assertTrue(
        OperatorClient.await(START_TIMEOUT_MILLIS, () -> status(putConfig()) == OK),
        "the configuration is acknowledged");
    List<CompletableFuture<Boolean>> answered =
        IntStream.range(0, SUBMISSIONS)
            .mapToObj(i -> CompletableFuture.supplyAsync(() -> submitUntilAnswered(i)))
            .toList();
    assertTrue(answered.stream().allMatch(CompletableFuture::join), "each submission is answered");
    for (String controller : cluster.controllers()) {
      assertTrue(cluster.process(controller).isAlive(), controller + " ended by itself");
      assertTrue(
          OperatorClient.await(RECOVERY_MILLIS, () -> status(readConfig(controller)) == OK),
          "the configuration can be read at " + controller);
    }
  }

  private boolean submitUntilAnswered(int number) {
    List<String> gateways = cluster.gateways();
    HostPort gateway = cluster.callerAddress(gateways.get(number % gateways.size()));
    HttpRequest request =
        request(gateway, String.format("/q/%016x", number + 1))
            .header("X-Deadline-Ms", Long.toString(CALL_TIMEOUT.toMillis()))
            .POST(BodyPublishers.ofString(submission()))
            .build();
    return OperatorClient.await(
        START_TIMEOUT_MILLIS,
        () -> {
          int status = status(request);
          return status == OK || status == TOO_MANY_REQUESTS;
        });
  }

  private static String submission() {
    ObjectNode json = SoakSite.newJson().put("spec", "x");
    ArrayNode steps = json.putArray("steps");
    IntStream.range(0, STEPS).forEach(i -> steps.addObject().put("count", 1).put("cpu", 100));
    return json.toString();
  }

  private HttpRequest putConfig() {
    ObjectNode json = SoakSite.newJson().put("version", 1);
    json.putArray("routes")
        .addObject()
        .put("name", "q")
        .put("host", cluster.callerAddress(cluster.gateways().get(0)).host())
        .put("path_prefix", "/q/")
        .put("kind", "unsafe")
        .put("service", "s")
        .put("timeout_ms", 3_000)
        .put("target_latency_ms", 600)
        .put("priority", 0)
        .put("max_attempts", 4)
        .put("stretch", 1.6);
    json.withArray("routes")
        .add(
            json.withArray("routes")
                .get(0)
                .<ObjectNode>deepCopy()
                .put("name", "q2")
                .put("host", cluster.callerAddress(cluster.gateways().get(1)).host()));
    json.putArray("services").addObject().put("name", "s").put("spare", false);
    HostPort controller = cluster.controlAddress(cluster.controllers().get(0));
    return request(controller, "/config").PUT(BodyPublishers.ofString(json.toString())).build();
  }

  private HttpRequest readConfig(String controller) {
    return request(cluster.controlAddress(controller), "/config").GET().build();
  }

  private static HttpRequest.Builder request(HostPort address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(CALL_TIMEOUT);
  }

  /** Returns the status of the answer, or 0 if there is none. */
  private int status(HttpRequest request) {
    try {
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      return response.statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }
}
