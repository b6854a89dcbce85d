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

/** HTTP server for operators: tickets, cluster commands, status, dump and metrics. */
public final class OperatorServer extends AbstractVerticle {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long COMMAND_TIMEOUT_MILLIS = 5_000;
  private static final long MAX_BODY_BYTES = 8L << 20;
  private static final int MAX_COMMAND_ID_LENGTH = 128;
  private static final String OPERATOR_KEY = "operator";
  private static final String BEARER_PREFIX = "Bearer ";

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
    router.get("/tickets").handler(c -> replyIfCurrent(c, s -> List.copyOf(s.tickets().entries())));
    router.get("/tickets/:number").handler(c -> replyIfCurrent(c, s -> findTicket(c, s)));
    router.get("/status").handler(this::status);
    router.get("/dump").handler(this::dump);
    router.get("/metrics").handler(this::metrics);
    router.post("/tickets").handler(c -> authorize(c, OperatorRole.FILE));
    router.post("/tickets").handler(this::fileTicket);
    router.post("/tickets/:number/withdraw").handler(c -> authorize(c, OperatorRole.FILE));
    router.post("/tickets/:number/withdraw").handler(c -> decideTicket(c, Decision.WITHDRAW));
    router.post("/tickets/:number/approve").handler(c -> authorize(c, OperatorRole.APPROVE));
    router.post("/tickets/:number/approve").handler(c -> decideTicket(c, Decision.APPROVE));
    router.post("/cluster/*").handler(c -> authorize(c, OperatorRole.APPROVE));
    router.post("/cluster/form").handler(this::formCluster);
    router.post("/cluster/voters/:node/replace").handler(this::replaceVoter);
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

  private void authorize(RoutingContext context, OperatorRole required) {
    String header = Optional.ofNullable(context.request().getHeader("Authorization")).orElse("");
    String secret =
        header.startsWith(BEARER_PREFIX) ? header.substring(BEARER_PREFIX.length()) : "";
    OperatorToken match = null;
    for (OperatorToken token : settings.operators()) {
      match = token.matches(secret) ? token : match;
    }
    if (match == null) {
      throw new PlantainknotException(ErrorCode.UNAUTHENTICATED, "the token is missing or unknown");
    }
    if (!match.role().includes(required)) {
      throw new PlantainknotException(
          ErrorCode.FORBIDDEN, match.operator() + " lacks the role " + required);
    }
    context.put(OPERATOR_KEY, match.operator());
    context.next();
  }

  private void fileTicket(RoutingContext context) {
    Ticket ticket = parse(context, Ticket.class);
    submit(context, new Command.FileTicket(ticket, context.get(OPERATOR_KEY)));
  }

  private void decideTicket(RoutingContext context, Decision decision) {
    submit(
        context,
        new Command.DecideTicket(parseTicketNumber(context), decision, context.get(OPERATOR_KEY)));
  }

  private void submit(RoutingContext context, Command command) {
    String requestedId = context.request().getHeader(OperatorHeaders.COMMAND_ID);
    String commandId = requestedId == null ? UUID.randomUUID().toString() : requestedId;
    if (commandId.length() > MAX_COMMAND_ID_LENGTH) {
      throw new PlantainknotException(
          ErrorCode.TOO_LARGE,
          OperatorHeaders.COMMAND_ID + " is longer than " + MAX_COMMAND_ID_LENGTH);
    }
    Uni<MessageBody> answer =
        node.submit(commandId, command, COMMAND_TIMEOUT_MILLIS)
            .map(Result::orThrow)
            .map(MessageBody::new);
    logger.atInfo().log("operator-command operator=%s id=%s", context.get(OPERATOR_KEY), commandId);
    reply(context, answer);
  }

  private void formCluster(RoutingContext context) {
    FormClusterBody body = parse(context, FormClusterBody.class);
    if (body.voters() == null || body.voters().isEmpty()) {
      throw new PlantainknotException(ErrorCode.INVALID_INPUT, "voters: name at least one node");
    }
    reply(
        context,
        node.form(body.voters()).map(m -> new MessageBody("cluster " + m.clusterId() + " formed")));
  }

  private void replaceVoter(RoutingContext context) {
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
        .with(done -> {}, connectionLost -> {});
  }

  /** Replies from the state only while the lease guarantees that the state is current. */
  private void replyIfCurrent(RoutingContext context, Function<ControlState, Object> reader) {
    Uni<Object> answer =
        node.read(
            state -> {
              if (!node.lease().isHeld(Clock.nowMillis(), Clock.wallMillis())) {
                throw new PlantainknotException(
                    ErrorCode.UNAVAILABLE, "this node holds no lease; ask another entry VM");
              }
              return reader.apply(state);
            });
    reply(context, answer);
  }

  private static Object findTicket(RoutingContext context, ControlState state) {
    long number = parseTicketNumber(context);
    return state
        .tickets()
        .entry(number)
        .orElseThrow(
            () ->
                new PlantainknotException(
                    ErrorCode.NOT_FOUND, "ticket " + number + " was never filed"));
  }

  private static long parseTicketNumber(RoutingContext context) {
    try {
      return Long.parseLong(context.pathParam("number"));
    } catch (NumberFormatException e) {
      throw new PlantainknotException(
          ErrorCode.INVALID_INPUT, "the ticket number is not an integer");
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
      String place = e.getLocation() == null ? "body" : "line " + e.getLocation().getLineNr();
      throw new PlantainknotException(
          ErrorCode.INVALID_INPUT, place + ": " + e.getOriginalMessage());
    }
    throw new PlantainknotException(ErrorCode.INVALID_INPUT, "the body is empty");
  }

  private void reply(RoutingContext context, Uni<?> answer) {
    answer.subscribe().with(body -> send(context, 200, body), context::fail);
  }

  private void fail(RoutingContext context) {
    Throwable failure = context.failure();
    PlantainknotException error;
    if (failure instanceof PlantainknotException expected) {
      error = expected;
    } else if (context.statusCode() >= 400 && context.statusCode() < 500) {
      boolean tooLarge = context.statusCode() == 413;
      error =
          new PlantainknotException(
              tooLarge ? ErrorCode.TOO_LARGE : ErrorCode.NOT_FOUND, "HTTP " + context.statusCode());
    } else {
      logger.atWarning().withCause(failure).log("operator-request-failed");
      error = new PlantainknotException(ErrorCode.INTERNAL, "internal error; see the daemon's log");
    }
    send(context, error.code().httpStatus(), ErrorBody.of(error));
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
          .with(done -> {}, connectionLost -> {});
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
