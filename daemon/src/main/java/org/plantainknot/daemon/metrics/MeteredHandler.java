package org.plantainknot.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.CompletionStage;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.call.RequestHandler;

/** Counts requests by type and reply, and measures the latency of each type. */
public final class MeteredHandler implements RequestHandler {

  private final RequestHandler handler;
  private final MetricRegistry metrics;
  private final String listener;

  /**
   * Creates a handler that measures another one.
   *
   * @param handler handler to which requests are delegated
   * @param metrics registry of the metrics
   * @param listener name of the listener, used as prefix of the metric names
   */
  public MeteredHandler(RequestHandler handler, MetricRegistry metrics, String listener) {
    this.handler = handler;
    this.metrics = metrics;
    this.listener = listener;
  }

  @Override
  public CompletionStage<Reply> handle(Request request, long timeoutMillis) {
    String type = request.getClass().getSimpleName();
    Timer.Context timer = metrics.timer(MetricRegistry.name(listener, type)).time();
    return handler
        .handle(request, timeoutMillis)
        .whenComplete(
            (reply, failure) -> {
              timer.stop();
              String outcome = failure == null ? reply.getClass().getSimpleName() : "Failure";
              metrics.counter(MetricRegistry.name(listener, type, outcome)).inc();
            });
  }
}
