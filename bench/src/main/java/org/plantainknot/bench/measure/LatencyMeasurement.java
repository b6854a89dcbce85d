package org.plantainknot.bench.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.plantainknot.bench.cluster.DaemonSite;
import org.plantainknot.bench.cluster.NodeLayout;
import org.plantainknot.bench.cluster.OperatorClient;
import org.plantainknot.daemon.settings.HostPort;

/** Measures the latency that a daemon adds, against direct requests in the same run. */
final class LatencyMeasurement {

  private static final long MEAN_SERVICE_MILLIS = 20;
  private static final int BASE_PORT = 26_000;
  private static final int REQUESTS = 8_000;
  private static final int WARM_UP_REQUESTS = 12_000;
  private static final int CONCURRENCY = 4;
  private static final double MEDIAN = 50;
  private static final double P99 = 99;
  private static final long CLOCK_TICKS_PER_SECOND = 100;
  private static final int USER_TIME_FIELD = 11;

  private final long seed;

  LatencyMeasurement(long seed) {
    this.seed = seed;
  }

  ObjectNode run() {
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "latency").put("seed", seed).put("source", "daemons");
    try (DaemonSite site = new DaemonSite(BASE_PORT, seed, MEAN_SERVICE_MILLIS)) {
      site.cluster().enableFullCompilation();
      site.start();
      NodeLayout node = site.cluster().nodes().get(5);
      HostPort target = new HostPort(DaemonSite.HOST, site.cluster().freePort() + 20);
      HttpClient client =
          site.vertx().createHttpClient(new HttpClientOptions().setMaxPoolSize(CONCURRENCY));
      measure(client, node.caller(), "/services/gate/fast", WARM_UP_REQUESTS);
      measure(client, target, "/fast", WARM_UP_REQUESTS / 2);
      Histogram directLatency = measure(client, target, "/fast", REQUESTS);
      long pid = site.cluster().process(node.name()).pid();
      double cpuBefore = cpuSeconds(pid);
      long startNanos = System.nanoTime();
      Histogram proxiedLatency = measure(client, node.caller(), "/services/gate/fast", REQUESTS);
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      double cpu = cpuSeconds(pid) - cpuBefore;
      figures.put("added_median_micros", addedMicros(proxiedLatency, directLatency, MEDIAN));
      figures.put("added_p99_micros", addedMicros(proxiedLatency, directLatency, P99));
      figures.put("requests_per_second", Math.round(REQUESTS / seconds));
      figures.put("requests_per_core_second", Math.round(REQUESTS / cpu));
      figures.put("resident_mib", residentMib(pid));
      figures.put("overshoot", Math.max(0, site.runLog().mostInUse() - 8));
    }
    return figures;
  }

  private static long addedMicros(
      Histogram proxiedLatency, Histogram directLatency, double percentile) {
    return proxiedLatency.getValueAtPercentile(percentile)
        - directLatency.getValueAtPercentile(percentile);
  }

  private static Histogram measure(HttpClient client, HostPort address, String uri, int requests) {
    Histogram micros = new ConcurrentHistogram(3);
    Semaphore freePermits = new Semaphore(CONCURRENCY);
    for (int i = 0; i < requests; i++) {
      freePermits.acquireUninterruptibly();
      long startNanos = System.nanoTime();
      client
          .request(
              new RequestOptions()
                  .setHost(address.host())
                  .setPort(address.port())
                  .setMethod(HttpMethod.GET)
                  .setURI(uri))
          .compose(request -> request.send())
          .compose(response -> response.body())
          .onComplete(
              done -> {
                micros.recordValue((System.nanoTime() - startNanos) / 1_000);
                freePermits.release();
              });
    }
    OperatorClient.await(5_000, () -> freePermits.availablePermits() == CONCURRENCY);
    return micros;
  }

  private static double cpuSeconds(long pid) {
    String stat = read(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks =
        Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[USER_TIME_FIELD + 1]);
    return (double) ticks / CLOCK_TICKS_PER_SECOND;
  }

  private static long residentMib(long pid) {
    return read(Path.of("/proc/" + pid + "/status"))
        .lines()
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1_024)
        .findFirst()
        .orElse(-1);
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
