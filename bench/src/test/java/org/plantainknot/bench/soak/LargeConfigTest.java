package org.plantainknot.bench.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
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
import java.util.Optional;
import java.util.stream.Stream;
import org.plantainknot.bench.cluster.DaemonProcess;
import org.plantainknot.bench.cluster.OperatorClient;
import org.plantainknot.daemon.settings.HostPort;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what many changes of a large configuration leave on the disks of the controllers. */
public class LargeConfigTest {

  private static final int SUBNET = 210;
  private static final int CONTROLLERS = 3;
  private static final int QUEUES = 2_000;
  private static final int CHANGES = 160;
  private static final long START_TIMEOUT_MILLIS = 20_000;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final int OK = 200;

  /** Half of the smallest disk that controllers are given, which holds 128 MB. */
  private static final long MAX_DISK_BYTES = 64_000_000;

  private final HttpClient client = HttpClient.newHttpClient();
  private Path folder;
  private SoakCluster cluster;

  @BeforeMethod
  void start() throws IOException {
    folder = Files.createTempDirectory("plantainknot-large-config");
    HostPort noMachines = new HostPort("127.1." + SUBNET + ".200", 7007);
    cluster = new SoakCluster(folder, SUBNET, CONTROLLERS, 0, noMachines);
    cluster.startAll();
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    cluster.close();
  }

  /** Guards against logs that are bounded by their entries only, and that no heap can hold. */
  @Test
  void controllersStartAgainAfterManyChangesOfALargeConfiguration() {
    String document = document();
    for (long version = 1; version <= CHANGES; version++) {
      putConfig(document.replace("\"version\":0", "\"version\":" + version));
      assertDisksAreSmall();
    }
    List<String> controllers = cluster.controllers();
    controllers.stream().map(cluster::process).forEach(DaemonProcess::kill);
    controllers.forEach(cluster::restart);
    for (String controller : controllers) {
      assertTrue(
          OperatorClient.await(RECOVERY_MILLIS, () -> readVersion(controller).isPresent()),
          "the configuration can be read at " + controller);
      assertEquals(readVersion(controller), Optional.of((long) CHANGES), controller);
    }
  }

  private void putConfig(String document) {
    assertTrue(
        OperatorClient.await(
            START_TIMEOUT_MILLIS,
            () ->
                cluster.controllers().stream()
                    .anyMatch(
                        controller ->
                            call(controller, "PUT", document)
                                .filter(answer -> answer.statusCode() == OK)
                                .isPresent())),
        "a change is acknowledged");
  }

  private void assertDisksAreSmall() {
    for (String controller : cluster.controllers()) {
      long bytes = folderBytes(folder.resolve(controller));
      assertTrue(bytes <= MAX_DISK_BYTES, controller + " has " + bytes + " bytes on its disk");
    }
  }

  private static long folderBytes(Path dataFolder) {
    try (Stream<Path> files = Files.list(dataFolder)) {
      return files.map(Path::toFile).mapToLong(java.io.File::length).sum();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Optional<Long> readVersion(String controller) {
    return call(controller, "GET", "")
        .filter(answer -> answer.statusCode() == OK)
        .map(answer -> answer.body().replaceFirst("(?s).*\"version\":(\\d+).*", "$1"))
        .map(Long::valueOf);
  }

  private Optional<HttpResponse<String>> call(String controller, String method, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://" + cluster.controlAddress(controller) + "/config"))
            .timeout(CALL_TIMEOUT)
            .method(method, BodyPublishers.ofString(body))
            .build();
    try {
      return Optional.of(client.send(request, BodyHandlers.ofString()));
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private static String document() {
    ObjectNode json = SoakSite.newJson().put("version", 0);
    ArrayNode queues = json.putArray("routes");
    for (int i = 0; i < QUEUES; i++) {
      queues
          .addObject()
          .put("name", "queue" + i)
          .put("host", "host" + i % 10 + ".example")
          .put("path_prefix", "/queue" + i + "/")
          .put("kind", "unsafe")
          .put("service", "s")
          .put("timeout_ms", 3_000)
          .put("target_latency_ms", 600)
          .put("priority", 0)
          .put("max_attempts", 4)
          .put("stretch", 1.6);
    }
    json.putArray("services").addObject().put("name", "s").put("spare", false);
    return json.toString();
  }
}
