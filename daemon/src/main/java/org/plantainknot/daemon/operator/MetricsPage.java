package org.plantainknot.daemon.operator;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.jvm.GarbageCollectorMetricSet;
import com.codahale.metrics.jvm.MemoryUsageGaugeSet;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Renders all metrics in the Prometheus text format. */
public final class MetricsPage {

  /** Content type of the page. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

  /** Creates a page for a registry, and registers the JVM's memory and GC metrics with it. */
  public MetricsPage(MetricRegistry metrics) {
    metrics.registerAll("memory", new MemoryUsageGaugeSet());
    metrics.registerAll("gc", new GarbageCollectorMetricSet());
    DropwizardExports.builder().dropwizardRegistry(metrics).register(registry);
  }

  /** Returns the current values of all metrics. */
  public String render() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      writer.write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
