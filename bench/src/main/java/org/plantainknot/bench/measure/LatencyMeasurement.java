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

/** What a daemon adds to a request, against going to the target directly in the same run. */
final class LatencyMeasurement {

  private static final long SERVICE_MILLIS = 20;
  private static final int BASE_PORT = 26_000;
  private static final int REQUESTS = 8_000;
  private static final int WARM_UP = 12_000;
  private static final int AT_A_TIME = 4;
  private static final double MEDIAN = 50;
  private static final double P99 = 99;
  private static final long CLOCK_TICKS_PER_SECOND = 100;
  private static final int UTIME_FIELD = 11;

  private final long seed;

  LatencyMeasurement(long seed) {
    this.seed = seed;
  }

  ObjectNode run() {
    ObjectNode figures = Measurement.figures();
    figures.put("measurement", "latency").put("seed", seed).put("source", "daemons");
    try (DaemonSite site = new DaemonSite(BASE_PORT, seed, SERVICE_MILLIS)) {
      site.cluster().optimize();
      site.start();
      NodeLayout node = site.cluster().nodes().get(5);
      HostPort direct = new HostPort(DaemonSite.HOST, site.cluster().freePort() + 20);
      HttpClient client =
          site.vertx().createHttpClient(new HttpClientOptions().setMaxPoolSize(AT_A_TIME));
      measure(client, node.caller(), "/services/gate/fast", WARM_UP);
      measure(client, direct, "/fast", WARM_UP / 2);
      Histogram straight = measure(client, direct, "/fast", REQUESTS);
      long pid = site.cluster().process(node.name()).pid();
      double cpuBefore = cpuSeconds(pid);
      long from = System.nanoTime();
      Histogram through = measure(client, node.caller(), "/services/gate/fast", REQUESTS);
      double seconds = (System.nanoTime() - from) / 1e9;
      double cpu = cpuSeconds(pid) - cpuBefore;
      figures.put("added_median_micros", difference(through, straight, MEDIAN));
      figures.put("added_p99_micros", difference(through, straight, P99));
      figures.put("requests_per_second", Math.round(REQUESTS / seconds));
      figures.put("requests_per_core_second", Math.round(REQUESTS / cpu));
      figures.put("resident_mib", residentMib(pid));
      figures.put("overshoot", Math.max(0, site.ledger().mostInUse() - 8));
    }
    return figures;
  }

  private static long difference(Histogram through, Histogram straight, double percentile) {
    return through.getValueAtPercentile(percentile) - straight.getValueAtPercentile(percentile);
  }

  private static Histogram measure(HttpClient client, HostPort to, String uri, int requests) {
    Histogram micros = new ConcurrentHistogram(3);
    Semaphore free = new Semaphore(AT_A_TIME);
    for (int i = 0; i < requests; i++) {
      free.acquireUninterruptibly();
      long from = System.nanoTime();
      client
          .request(
              new RequestOptions()
                  .setHost(to.host())
                  .setPort(to.port())
                  .setMethod(HttpMethod.GET)
                  .setURI(uri))
          .compose(request -> request.send())
          .compose(response -> response.body())
          .onComplete(
              done -> {
                micros.recordValue((System.nanoTime() - from) / 1_000);
                free.release();
              });
    }
    OperatorClient.await(5_000, () -> free.availablePermits() == AT_A_TIME);
    return micros;
  }

  private static double cpuSeconds(long pid) {
    String stat = read(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks = Long.parseLong(fields[UTIME_FIELD]) + Long.parseLong(fields[UTIME_FIELD + 1]);
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
