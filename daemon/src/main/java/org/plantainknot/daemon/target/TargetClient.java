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
 * Sends requests to targets over HTTP/1.1, one at a time per connection (no pipelining).
 *
 * <p>After a timeout, a truncated answer or an answer to another request, the connection is closed
 * and never reused.
 */
public final class TargetClient {

  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final int KEEP_ALIVE_SECONDS = 5;
  private static final int MAX_CONNECTIONS_PER_TARGET = 10;

  private final Vertx vertx;
  private final HttpClient client;
  private final String process;
  private final long maxAnswerBytes;
  private final AtomicLong sequence = new AtomicLong();

  /**
   * Creates a client.
   *
   * @param process identifier of this process, used as prefix of the correlation identifiers
   * @param maxAnswerBytes maximum size of an answer's body
   */
  public TargetClient(Vertx vertx, String process, long maxAnswerBytes) {
    this.vertx = vertx;
    this.process = process;
    this.maxAnswerBytes = maxAnswerBytes;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setMaxPoolSize(MAX_CONNECTIONS_PER_TARGET)
                .setPipelining(false)
                .setTcpNoDelay(true));
  }

  /** Sends a request to a target. The result always completes, at the latest at the deadline. */
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
        .transformToUni(targetRequest -> send(targetRequest, request, correlation))
        .onFailure()
        .recoverWithItem(e -> TargetReply.notSent(String.valueOf(e.getMessage())));
  }

  private Uni<TargetReply> send(
      HttpClientRequest targetRequest, CallerRequest request, String correlation) {
    long remainingMillis = request.deadlineMillis() - Clock.nowMillis();
    if (remainingMillis <= 0) {
      targetRequest.reset();
      return Uni.createFrom().item(TargetReply.notSent("deadline"));
    }
    targetRequest.headers().addAll(request.headers());
    targetRequest.putHeader(Headers.CORRELATION, correlation);
    targetRequest.putHeader(Headers.DEADLINE_MILLIS, Long.toString(remainingMillis));
    targetRequest.putHeader(Headers.KIND, request.kind().name());
    if (request.key() != null) {
      targetRequest.putHeader(Headers.IDEMPOTENCY_KEY, request.key().requestId());
      targetRequest.putHeader(Headers.CALLER, request.key().caller());
    }
    AtomicBoolean timedOut = new AtomicBoolean();
    long timer =
        vertx.setTimer(
            remainingMillis,
            id -> {
              timedOut.set(true);
              targetRequest.reset();
            });
    return targetRequest
        .send(request.body())
        .onItem()
        .transformToUni(response -> receive(targetRequest, response, correlation))
        .onFailure()
        .recoverWithItem(e -> toLostReply(timedOut, e))
        .onTermination()
        .invoke(() -> vertx.cancelTimer(timer));
  }

  private Uni<TargetReply> receive(
      HttpClientRequest targetRequest, HttpClientResponse response, String correlation) {
    String echoedCorrelation = response.getHeader(Headers.CORRELATION);
    String problem = null;
    if (echoedCorrelation != null && !echoedCorrelation.equals(correlation)) {
      problem = "the answer belongs to another request";
    } else if (!isDelimited(response)) {
      problem = "the answer states no length";
    }
    if (problem != null) {
      targetRequest.reset();
      return Uni.createFrom().item(TargetReply.lost(problem));
    }
    return readBody(targetRequest, response)
        .map(body -> TargetReply.answered(response.statusCode(), response.headers(), body));
  }

  /**
   * Returns whether the answer is delimited. Without a length or chunks, a truncated answer could
   * not be told from a complete one.
   */
  private static boolean isDelimited(HttpClientResponse response) {
    boolean bodiless = response.statusCode() == 204 || response.statusCode() == 304;
    return bodiless
        || response.getHeader("Content-Length") != null
        || response.getHeader("Transfer-Encoding") != null;
  }

  private Uni<Buffer> readBody(HttpClientRequest targetRequest, HttpClientResponse response) {
    Buffer body = Buffer.buffer();
    return Uni.createFrom()
        .emitter(
            emitter -> {
              response.exceptionHandler(emitter::fail);
              response.endHandler(() -> emitter.complete(body));
              response.handler(
                  chunk -> {
                    body.appendBuffer(chunk);
                    if (body.length() > maxAnswerBytes) {
                      targetRequest.reset();
                      emitter.fail(new IllegalStateException("the answer is too large"));
                    }
                  });
            });
  }

  private static TargetReply toLostReply(AtomicBoolean timedOut, Throwable error) {
    return TargetReply.lost(timedOut.get() ? "deadline" : String.valueOf(error.getMessage()));
  }
}
