package org.plantainknot.daemon.caller;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.vertx.core.AbstractVerticle;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Context;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.core.http.HttpServerResponse;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.daemon.settings.SettingKey;
import org.plantainknot.daemon.target.AnnouncementBody;
import org.plantainknot.daemon.target.AnnouncementReceiver;
import org.plantainknot.daemon.tls.TlsKeys;

/**
 * HTTP server for callers' requests, the load balancer's health checks and the announcements of
 * targets.
 */
public final class CallerServer extends AbstractVerticle {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_HEADER_BYTES = 16 << 10;

  private final DaemonSettings settings;
  private final Gateway gateway;
  private final AnnouncementReceiver announcementReceiver;
  private final RequestParser parser;
  private HttpServer server;

  /** Creates one of several instances that share the listening port. */
  public CallerServer(
      DaemonSettings settings, Gateway gateway, AnnouncementReceiver announcementReceiver) {
    this.settings = settings;
    this.gateway = gateway;
    this.announcementReceiver = announcementReceiver;
    this.parser = new RequestParser(settings.number(SettingKey.LIMIT_REQUEST_MAX_MILLIS));
  }

  @Override
  public Uni<Void> asyncStart() {
    Router router = Router.router(vertx);
    BodyHandler bodyHandler =
        BodyHandler.create(false).setBodyLimit(settings.number(SettingKey.LIMIT_BODY_BYTES));
    router.get("/-/health").handler(this::health);
    router.post("/-/announce").handler(bodyHandler).handler(this::announce);
    router.route("/services/:service").handler(bodyHandler).handler(this::serve);
    router.route("/services/:service/*").handler(bodyHandler).handler(this::serve);
    router.route().failureHandler(this::fail);
    HttpServerOptions options = new HttpServerOptions().setMaxHeaderSize(MAX_HEADER_BYTES);
    TlsKeys.of(settings).ifPresent(keys -> keys.applyTo(options));
    server = vertx.createHttpServer(options);
    return server
        .requestHandler(router)
        .listen(
            (int) settings.number(SettingKey.LISTEN_CALLER_PORT),
            settings.text(SettingKey.LISTEN_HOST))
        .replaceWithVoid();
  }

  private void health(RoutingContext context) {
    boolean healthy = gateway.isHealthy();
    end(context.response().setStatusCode(healthy ? 200 : 503), healthy ? "ok\n" : "no lease\n");
  }

  private void announce(RoutingContext context) {
    AnnouncementBody announcement;
    try {
      announcement = context.body().asPojo(AnnouncementBody.class);
    } catch (RuntimeException e) {
      throw new PlantainknotException(
          ErrorCode.INVALID_INPUT, "the announcement is not the expected JSON object");
    }
    announcementReceiver
        .receive(announcement)
        .subscribe()
        .with(result -> end(context.response(), "ok\n"), context::fail);
  }

  private void serve(RoutingContext context) {
    CallerRequest request = parser.parse(context);
    Context eventLoop = vertx.getOrCreateContext();
    gateway
        .run(
            request,
            task -> runOn(eventLoop, task),
            cancel -> context.response().closeHandler(cancel))
        .subscribe()
        .with(answer -> write(context, answer), context::fail);
  }

  private static void runOn(Context eventLoop, Runnable task) {
    Context current = Vertx.currentContext();
    if (current != null && current.getDelegate() == eventLoop.getDelegate()) {
      task.run();
    } else {
      eventLoop.runOnContext(task);
    }
  }

  private static void write(RoutingContext context, CallerAnswer answer) {
    HttpServerResponse response = context.response();
    if (response.closed() || response.ended()) {
      return;
    }
    response.setStatusCode(answer.status());
    answer
        .headers()
        .forEach(
            entry -> {
              if (Headers.isForwarded(entry.getKey())) {
                response.headers().add(entry.getKey(), entry.getValue());
              }
            });
    response.putHeader(Headers.OUTCOME, answer.outcome().headerValue());
    if (answer.reason() != null) {
      response.putHeader(Headers.REASON, answer.reason().replaceAll("[^ -~]", "?"));
    }
    response.end(answer.body()).subscribe().with(done -> {}, connectionLost -> {});
  }

  private void fail(RoutingContext context) {
    HttpServerResponse response = context.response();
    if (response.ended()) {
      return;
    }
    Throwable failure = context.failure();
    int status = context.statusCode() > 0 ? context.statusCode() : 500;
    JsonObject error = new JsonObject();
    if (failure instanceof PlantainknotException expected) {
      status = expected.code().httpStatus();
      error.put("code", expected.code().code()).put("message", expected.getMessage());
    } else {
      ErrorCode code = status == 413 ? ErrorCode.TOO_LARGE : ErrorCode.INVALID_INPUT;
      code = status >= 500 ? ErrorCode.INTERNAL : code;
      error.put("code", code.code()).put("message", "HTTP status " + status);
      logger.atWarning().withCause(failure).log("request-failed status=%d", status);
    }
    response.setStatusCode(status).putHeader("Content-Type", "application/json");
    boolean notRun = status < 500;
    response.putHeader(
        Headers.OUTCOME, (notRun ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN).headerValue());
    end(response, error.encode() + "\n");
  }

  private static void end(HttpServerResponse response, String text) {
    response.end(text).subscribe().with(done -> {}, connectionLost -> {});
  }
}
