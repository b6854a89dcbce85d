package org.plantainknot.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.vertx.core.AbstractVerticle;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.mutiny.core.http.HttpServerResponse;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Function;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.ticket.Decision;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.daemon.caller.Gateway;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.daemon.control.ControlNode;
import org.plantainknot.daemon.control.ControlView;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.daemon.dump.DumpBody;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.daemon.settings.OperatorRole;
import org.plantainknot.daemon.settings.OperatorToken;
import org.plantainknot.daemon.settings.SettingKey;
import org.plantainknot.daemon.tls.TlsKeys;

/** HTTP server for operators. */
public final class OperatorServer extends AbstractVerticle {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long COMMAND_MILLIS = 5_000;
  private static final long MAX_BODY_BYTES = 8L << 20;
  private static final int MAX_COMMAND_ID = 128;
  private static final String OPERATOR = "operator";
  private static final String BEARER = "Bearer ";

  private final DaemonSettings settings;
  private final ControlNode node;
  private final Gateway gateway;
  private final MetricsPage metricsPage;

  /** Creates the server. */
  public OperatorServer(
      DaemonSettings settings, ControlNode node, Gateway gateway, MetricsPage metricsPage) {
    this.settings = settings;
    this.node = node;
    this.gateway = gateway;
    this.metricsPage = metricsPage;
  }

  @Override
  public Uni<Void> asyncStart() {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
    router.get().handler(context -> authorize(context, OperatorRole.VIEW));
    router.get("/tickets").handler(c -> current(c, s -> List.copyOf(s.tickets().entries())));
    router.get("/tickets/:number").handler(c -> current(c, s -> ticketOf(c, s)));
    router.get("/status").handler(this::status);
    router.get("/dump").handler(this::dump);
    router.get("/metrics").handler(this::metrics);
    router.post("/tickets").handler(c -> authorize(c, OperatorRole.FILE));
    router.post("/tickets").handler(this::file);
    router.post("/tickets/:number/withdraw").handler(c -> authorize(c, OperatorRole.FILE));
    router.post("/tickets/:number/withdraw").handler(c -> decide(c, Decision.WITHDRAW));
    router.post("/tickets/:number/approve").handler(c -> authorize(c, OperatorRole.APPROVE));
    router.post("/tickets/:number/approve").handler(c -> decide(c, Decision.APPROVE));
    router.post("/cluster/*").handler(c -> authorize(c, OperatorRole.APPROVE));
    router.post("/cluster/form").handler(this::form);
    router.post("/cluster/voters/:node/replace").handler(this::replace);
    router.route().failureHandler(this::fail);
    HttpServerOptions options = new HttpServerOptions();
    TlsKeys.of(settings).ifPresent(keys -> keys.applyTo(options));
    return vertx
        .createHttpServer(options)
        .requestHandler(router)
        .listen(
            (int) settings.number(SettingKey.LISTEN_OPERATOR_PORT),
            settings.text(SettingKey.LISTEN_HOST))
        .replaceWithVoid();
  }

  private void authorize(RoutingContext context, OperatorRole needed) {
    String header = Optional.ofNullable(context.request().getHeader("Authorization")).orElse("");
    String secret = header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
    OperatorToken found = null;
    for (OperatorToken token : settings.operators()) {
      found = token.matches(secret) ? token : found;
    }
    if (found == null) {
      throw new PlantainknotException(ErrorCode.UNAUTHENTICATED, "the token is missing or unknown");
    }
    if (!found.role().includes(needed)) {
      throw new PlantainknotException(
          ErrorCode.FORBIDDEN, found.operator() + " lacks the role " + needed);
    }
    context.put(OPERATOR, found.operator());
    context.next();
  }

  private void file(RoutingContext context) {
    Ticket ticket = parse(context, Ticket.class);
    submit(context, new Command.FileTicket(ticket, context.get(OPERATOR)));
  }

  private void decide(RoutingContext context, Decision decision) {
    submit(context, new Command.DecideTicket(numberOf(context), decision, context.get(OPERATOR)));
  }

  private void submit(RoutingContext context, Command command) {
    String given = context.request().getHeader(OperatorHeaders.COMMAND_ID);
    String commandId = given == null ? UUID.randomUUID().toString() : given;
    if (commandId.length() > MAX_COMMAND_ID) {
      throw new PlantainknotException(
          ErrorCode.TOO_LARGE, OperatorHeaders.COMMAND_ID + " is longer than " + MAX_COMMAND_ID);
    }
    Uni<MessageBody> answer =
        node.submit(commandId, command, COMMAND_MILLIS).map(Result::orThrow).map(MessageBody::new);
    logger.atInfo().log("operator-command operator=%s id=%s", context.get(OPERATOR), commandId);
    reply(context, answer);
  }

  private void form(RoutingContext context) {
    FormBody body = parse(context, FormBody.class);
    if (body.voters() == null || body.voters().isEmpty()) {
      throw new PlantainknotException(ErrorCode.INVALID_INPUT, "voters: name at least one node");
    }
    reply(
        context,
        node.form(body.voters()).map(m -> new MessageBody("cluster " + m.clusterId() + " formed")));
  }

  private void replace(RoutingContext context) {
    reply(context, node.replaceVoter(context.pathParam("node")).map(MessageBody::new));
  }

  private void status(RoutingContext context) {
    reply(
        context,
        node.view().onItem().transformToUni(view -> node.read(state -> statusOf(view, state))));
  }

  private StatusBody statusOf(ControlView view, ControlState state) {
    return new StatusBody(
        settings.node(),
        view.replica().role().name(),
        view.replica().leader() == null ? null : view.replica().leader().node(),
        view.leaseLeftMillis() > 0,
        state.gateways().live().size(),
        state.fleet().vms().size(),
        state.fleet().vms().stream().filter(vm -> vm.announcement() != null).count(),
        state.fleet().vms().stream().filter(vm -> vm.pool() == null).map(Vm::name).toList(),
        state.fleet().services().stream()
            .map(service -> ServiceStatus.of(state.fleet(), service))
            .toList(),
        view.waiting());
  }

  private void dump(RoutingContext context) {
    reply(
        context,
        node.view()
            .onItem()
            .transformToUni(view -> node.read(s -> DumpBody.of(view, s, gateway.view()))));
  }

  private void metrics(RoutingContext context) {
    context
        .response()
        .putHeader("Content-Type", MetricsPage.CONTENT_TYPE)
        .end(metricsPage.render())
        .subscribe()
        .with(done -> {}, gone -> {});
  }

  /** Answers from the state only while it is surely current. */
  private void current(RoutingContext context, Function<ControlState, Object> reader) {
    Uni<Object> answer =
        node.read(
            state -> {
              if (!node.lease().isHeld(Clock.nowMillis())) {
                throw new PlantainknotException(
                    ErrorCode.UNAVAILABLE, "this node is cut off; ask another entry VM");
              }
              return reader.apply(state);
            });
    reply(context, answer);
  }

  private static Object ticketOf(RoutingContext context, ControlState state) {
    long number = numberOf(context);
    return state
        .tickets()
        .entry(number)
        .orElseThrow(
            () ->
                new PlantainknotException(
                    ErrorCode.NOT_FOUND, "ticket " + number + " was never filed"));
  }

  private static long numberOf(RoutingContext context) {
    try {
      return Long.parseLong(context.pathParam("number"));
    } catch (NumberFormatException e) {
      throw new PlantainknotException(ErrorCode.INVALID_INPUT, "the number is not a number");
    }
  }

  private static <T> T parse(RoutingContext context, Class<T> type) {
    try {
      String text = context.body().asString() == null ? "" : context.body().asString();
      T parsed = StateCodec.json().readValue(text, type);
      if (parsed != null) {
        return parsed;
      }
    } catch (JsonProcessingException e) {
      String where = e.getLocation() == null ? "body" : "line " + e.getLocation().getLineNr();
      throw new PlantainknotException(
          ErrorCode.INVALID_INPUT, where + ": " + e.getOriginalMessage());
    }
    throw new PlantainknotException(ErrorCode.INVALID_INPUT, "the body is empty");
  }

  private void reply(RoutingContext context, Uni<?> answer) {
    answer.subscribe().with(body -> send(context, 200, body), context::fail);
  }

  private void fail(RoutingContext context) {
    Throwable failure = context.failure();
    PlantainknotException known;
    if (failure instanceof PlantainknotException expected) {
      known = expected;
    } else if (context.statusCode() >= 400 && context.statusCode() < 500) {
      boolean large = context.statusCode() == 413;
      known =
          new PlantainknotException(
              large ? ErrorCode.TOO_LARGE : ErrorCode.NOT_FOUND, "HTTP " + context.statusCode());
    } else {
      logger.atWarning().withCause(failure).log("operator-request-failed");
      known = new PlantainknotException(ErrorCode.INTERNAL, "see the daemon's log");
    }
    send(context, known.code().httpStatus(), ErrorBody.of(known));
  }

  private static void send(RoutingContext context, int status, Object body) {
    HttpServerResponse response = context.response();
    if (response.ended() || response.closed()) {
      return;
    }
    try {
      response
          .setStatusCode(status)
          .putHeader("Content-Type", "application/json")
          .end(StateCodec.json().writeValueAsString(body) + "\n")
          .subscribe()
          .with(done -> {}, gone -> {});
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
