package org.plantainknot.daemon.metrics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.CompletableFuture;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.daemon.operator.MetricsPage;
import org.testng.annotations.Test;

/** Tests that each reply and each failure is counted once under its request type. */
public class MeteredHandlerTest {

  private final MetricRegistry metrics = new MetricRegistry();

  @Test
  void replyIsCountedAndTimedWhenItArrives() {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    new MeteredHandler((request, timeoutMillis) -> reply, metrics, "callers")
        .handle(new Request.GetConfig(), 1_000);
    assertEquals(metrics.timer("callers.GetConfig").getCount(), 0);
    reply.complete(new Reply.Unavailable(1_000));
    assertEquals(metrics.timer("callers.GetConfig").getCount(), 1);
    assertEquals(metrics.counter("callers.GetConfig.Unavailable").getCount(), 1);
  }

  @Test
  void failureIsCountedAsFailure() {
    new MeteredHandler(
            (request, timeoutMillis) -> CompletableFuture.failedFuture(new RuntimeException("x")),
            metrics,
            "control")
        .handle(new Request.GetConfig(), 1_000);
    assertEquals(metrics.counter("control.GetConfig.Failure").getCount(), 1);
  }

  @Test
  void pageContainsTheCounters() {
    MetricRegistry registry = new MetricRegistry();
    new DecisionMetrics(registry).countElection();
    assertTrue(new MetricsPage(registry).render().contains("leader_elected"));
  }
}
