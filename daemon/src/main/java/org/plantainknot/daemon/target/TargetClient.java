package org.plantainknot.daemon.target;

import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpClient;
import io.vertx.mutiny.core.http.HttpClientRequest;
import io.vertx.mutiny.core.http.HttpClientResponse;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainknot.core.fleet.Announcement;
import org.plantainknot.daemon.caller.CallerRequest;
import org.plantainknot.daemon.caller.Headers;
import org.plantainknot.daemon.control.Clock;

/**
 * Runs requests on targets over HTTP/1.1, one at a time on each connection.
 *
 * <p>A connection is closed after a timeout, a cut answer or an answer to another request, and
 * never used again.
 */
public final class TargetClient {

  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final int KEEP_ALIVE_SECONDS = 5;
  private static final int MAX_CONNECTIONS_PER_TARGET = 10;

  private final Vertx vertx;
  private final HttpClient client;
  private final String process;
  private final long answerBytes;
  private final AtomicLong sequence = new AtomicLong();

  /** Creates a client whose correlation identifiers are unique to the process. */
  public TargetClient(Vertx vertx, String process, long answerBytes) {
    this.vertx = vertx;
    this.process = process;
    this.answerBytes = answerBytes;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setMaxPoolSize(MAX_CONNECTIONS_PER_TARGET)
                .setPipelining(false)
                .setTcpNoDelay(true));
  }

  /** Runs a request on a target; the reply always comes, at the latest at the deadline. */
  public Uni<TargetReply> run(Announcement target, CallerRequest request) {
    String correlation = process + "-" + sequence.incrementAndGet();
    RequestOptions options =
        new RequestOptions()
            .setHost(target.host())
            .setPort(target.port())
            .setMethod(request.method())
            .setURI(request.uri())
            .setTimeout(0);
    return client
        .request(options)
        .onItem()
        .transformToUni(opened -> send(opened, request, correlation))
        .onFailure()
        .recoverWithItem(e -> TargetReply.notSent(String.valueOf(e.getMessage())));
  }

  private Uni<TargetReply> send(
      HttpClientRequest opened, CallerRequest request, String correlation) {
    long leftMillis = request.deadlineMillis() - Clock.nowMillis();
    if (leftMillis <= 0) {
      opened.reset();
      return Uni.createFrom().item(TargetReply.notSent("deadline"));
    }
    opened.headers().addAll(request.headers());
    opened.putHeader(Headers.CORRELATION, correlation);
    opened.putHeader(Headers.DEADLINE_MILLIS, Long.toString(leftMillis));
    opened.putHeader(Headers.KIND, request.kind().name());
    if (request.key() != null) {
      opened.putHeader(Headers.IDEMPOTENCY_KEY, request.key().requestId());
      opened.putHeader(Headers.CALLER, request.key().caller());
    }
    AtomicBoolean timedOut = new AtomicBoolean();
    long timer =
        vertx.setTimer(
            leftMillis,
            id -> {
              timedOut.set(true);
              opened.reset();
            });
    return opened
        .send(request.body())
        .onItem()
        .transformToUni(response -> receive(opened, response, correlation))
        .onFailure()
        .recoverWithItem(e -> lost(timedOut, e))
        .onTermination()
        .invoke(() -> vertx.cancelTimer(timer));
  }

  private Uni<TargetReply> receive(
      HttpClientRequest opened, HttpClientResponse response, String correlation) {
    String echoed = response.getHeader(Headers.CORRELATION);
    String problem = null;
    if (echoed != null && !echoed.equals(correlation)) {
      problem = "the answer belongs to another request";
    } else if (!hasStatedLength(response)) {
      problem = "the answer states no length";
    }
    if (problem != null) {
      opened.reset();
      return Uni.createFrom().item(TargetReply.lost(problem));
    }
    return body(opened, response)
        .map(body -> TargetReply.answered(response.statusCode(), response.headers(), body));
  }

  /** Without a length or chunks, a cut answer could not be told from a whole one. */
  private static boolean hasStatedLength(HttpClientResponse response) {
    boolean bodiless = response.statusCode() == 204 || response.statusCode() == 304;
    return bodiless
        || response.getHeader("Content-Length") != null
        || response.getHeader("Transfer-Encoding") != null;
  }

  private Uni<Buffer> body(HttpClientRequest opened, HttpClientResponse response) {
    Buffer body = Buffer.buffer();
    return Uni.createFrom()
        .emitter(
            emitter -> {
              response.exceptionHandler(emitter::fail);
              response.endHandler(() -> emitter.complete(body));
              response.handler(
                  chunk -> {
                    body.appendBuffer(chunk);
                    if (body.length() > answerBytes) {
                      opened.reset();
                      emitter.fail(new IllegalStateException("the answer is too large"));
                    }
                  });
            });
  }

  private static TargetReply lost(AtomicBoolean timedOut, Throwable error) {
    return TargetReply.lost(timedOut.get() ? "deadline" : String.valueOf(error.getMessage()));
  }
}
