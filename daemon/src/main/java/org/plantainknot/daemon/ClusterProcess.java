package org.plantainknot.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.mutiny.core.Vertx;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.daemon.controller.ControllerNode;
import org.plantainknot.daemon.exit.ExitStatus;
import org.plantainknot.daemon.gateway.GatewayNode;
import org.plantainknot.daemon.metrics.MeteredHandler;
import org.plantainknot.daemon.operator.MetricsPage;
import org.plantainknot.daemon.settings.ClusterSettings;
import org.plantainknot.daemon.settings.ProcessRole;
import org.plantainknot.platform.HttpListener;
import org.plantainknot.platform.ReadyListener;
import sun.misc.Signal;

/** Process of a cluster whose gateways and controllers are separate processes. */
final class ClusterProcess {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 50;
  private static final long STOP_POLL_MILLIS = 20;
  private static final long RESIGN_TIMEOUT_MILLIS = 1_500;

  /** Time for the load balancer to detect the stop, and for callers to finish sent requests. */
  private static final long STOP_NOTICE_MILLIS = 3_500;

  /** Part of the stop time that is reserved for the last answers and the exit of the process. */
  private static final long EXIT_RESERVE_MILLIS = 800;

  /** Time for the next leader to answer what a stopping controller has passed on to it. */
  private static final long CONTROL_ANSWERS_MILLIS = 500;

  /** Time for writing the answers to requests that were given up. */
  private static final long LAST_ANSWERS_MILLIS = 200;

  private final ClusterSettings settings;
  private final Vertx vertx;
  private final MetricRegistry metrics = new MetricRegistry();
  private ControllerNode controller;
  private GatewayNode gateway;
  private HttpListener callers;
  private HttpListener control;

  ClusterProcess(ClusterSettings settings) {
    this.settings = settings;
    this.vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(2)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                    new FileSystemOptions()
                        .setFileCachingEnabled(false)
                        .setClassPathResolvingEnabled(false)));
  }

  void start() {
    if (settings.role() == ProcessRole.CONTROLLER) {
      controller = new ControllerNode(settings, vertx, metrics, ExitStatus.STORAGE::halt);
      controller.start();
      control =
          HttpListener.forControl(
              vertx,
              settings.controlAddress().orElseThrow(),
              new MeteredHandler(controller, metrics, "control"));
      control.start();
    } else {
      gateway = new GatewayNode(settings, metrics);
      gateway.start();
      vertx.setPeriodic(TICK_MILLIS, id -> gateway.tick());
      callers =
          HttpListener.forCallers(
              vertx,
              settings.callerAddress().orElseThrow(),
              new MeteredHandler(gateway, metrics, "callers"));
      callers.start();
      settings
          .readyAddress()
          .ifPresent(address -> ReadyListener.start(vertx, address, gateway::isReady));
    }
    startMetrics();
    Signal.handle(new Signal("HUP"), signal -> logger.atInfo().log("reload-requested"));
    logger.atInfo().log("started node=%s role=%s", settings.node(), settings.role());
  }

  /** Stops gracefully: a gateway finishes open requests, a controller transfers its leadership. */
  void stop() {
    long startedAtMillis = Clock.nowMillis();
    logger.atInfo().log("stopping node=%s", settings.node());
    if (gateway != null) {
      stopGateway(startedAtMillis);
    } else {
      stopController();
    }
    logger.atInfo().log(
        "stopped node=%s after-ms=%d", settings.node(), Clock.nowMillis() - startedAtMillis);
  }

  private void stopGateway(long startedAtMillis) {
    gateway.announceStop();
    callers.announceClose();
    long deadlineMillis = startedAtMillis + settings.stopMillis() - EXIT_RESERVE_MILLIS;
    sleep(Math.min(STOP_NOTICE_MILLIS, deadlineMillis - startedAtMillis));
    callers.closeIdleConnections();
    awaitAnswers(callers, deadlineMillis);
    gateway.failAllPending();
    awaitAnswers(callers, deadlineMillis + LAST_ANSWERS_MILLIS);
    gateway.close();
  }

  private static void awaitAnswers(HttpListener listener, long deadlineMillis) {
    while (listener.inProgress() > 0 && Clock.nowMillis() < deadlineMillis) {
      sleep(STOP_POLL_MILLIS);
    }
  }

  private void stopController() {
    control.announceClose();
    try {
      controller
          .transferLeadership(RESIGN_TIMEOUT_MILLIS)
          .toCompletableFuture()
          .get(RESIGN_TIMEOUT_MILLIS * 2, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      logger.atWarning().log("resign-failed cause=%s", e);
    }
    control.closeIdleConnections();
    awaitAnswers(control, Clock.nowMillis() + CONTROL_ANSWERS_MILLIS);
    controller.failAllPending();
    awaitAnswers(control, Clock.nowMillis() + LAST_ANSWERS_MILLIS);
    controller.close();
  }

  private void startMetrics() {
    if (settings.metricsPort() == 0) {
      return;
    }
    MetricsPage page = new MetricsPage(metrics);
    vertx
        .createHttpServer(
            new HttpServerOptions().setHost(settings.host()).setPort(settings.metricsPort()))
        .requestHandler(
            request ->
                request
                    .response()
                    .putHeader("Content-Type", MetricsPage.CONTENT_TYPE)
                    .endAndForget(page.render()))
        .listen()
        .await()
        .indefinitely();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
