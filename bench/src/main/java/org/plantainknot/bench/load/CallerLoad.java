package org.plantainknot.bench.load;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Collection;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainknot.bench.load.RequestRecord.Verdict;
import org.plantainknot.daemon.caller.Headers;
import org.plantainknot.daemon.settings.HostPort;

/** Open-loop load: sends each request without waiting for earlier ones to finish. */
public final class CallerLoad {

  private static final int MAX_CONNECTIONS = 400;
  private static final long TIMEOUT_MARGIN_MILLIS = 1_000;
  private static final double NON_IDEMPOTENT_FRACTION = 0.3;
  private static final int MAX_ATTEMPTS = 3;
  private static final long RETRY_WAIT_MILLIS = 300;

  private final Vertx vertx;
  private final Balancer balancer;
  private final HttpClient client;
  private final long deadlineMillis;
  private final SplittableRandom random;
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicInteger open = new AtomicInteger();
  private final Collection<RequestRecord> records = new ConcurrentLinkedQueue<>();

  /** Creates a load whose requests have the given deadline. */
  public CallerLoad(Vertx vertx, Balancer balancer, long deadlineMillis, long seed) {
    this.vertx = vertx;
    this.balancer = balancer;
    this.deadlineMillis = deadlineMillis;
    this.random = new SplittableRandom(seed);
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setMaxPoolSize(MAX_CONNECTIONS).setConnectTimeout(500));
  }

  /** Returns the records of all finished requests. */
  public Collection<RequestRecord> records() {
    return records;
  }

  /** Returns the number of requests in flight. */
  public int open() {
    return open.get();
  }

  /** Sends a request, which is idempotent or not at random. */
  public void send(String service, String kind) {
    boolean idempotent;
    synchronized (random) {
      idempotent = random.nextDouble() >= NON_IDEMPOTENT_FRACTION;
    }
    String requestId = service + "-" + sequence.incrementAndGet();
    open.incrementAndGet();
    new PendingRequest(service, kind, requestId, idempotent).attempt();
  }

  /** A request with its retries after connection failures. */
  private final class PendingRequest {

    private final String service;
    private final String kind;
    private final String requestId;
    private final boolean idempotent;
    private final long startedAtMillis = System.currentTimeMillis();
    private int attempts;

    PendingRequest(String service, String kind, String requestId, boolean idempotent) {
      this.service = service;
      this.kind = kind;
      this.requestId = requestId;
      this.idempotent = idempotent;
    }

    void attempt() {
      attempts++;
      HostPort entry = balancer.choose();
      RequestOptions options =
          new RequestOptions()
              .setHost(entry.host())
              .setPort(entry.port())
              .setMethod(idempotent ? HttpMethod.GET : HttpMethod.POST)
              .setURI("/services/" + service + "/job")
              .setTimeout(deadlineMillis + TIMEOUT_MARGIN_MILLIS);
      client
          .request(options)
          .compose(this::send)
          .compose(response -> response.body().onSuccess(body -> finish(response, body)))
          .onFailure(failure -> onConnectionFailure());
    }

    private Future<HttpClientResponse> send(HttpClientRequest request) {
      request
          .putHeader(Headers.IDEMPOTENCY_KEY, requestId)
          .putHeader(Headers.CALLER, "demo")
          .putHeader(Headers.ATTEMPT, Integer.toString(attempts))
          .putHeader(Headers.KIND, kind)
          .putHeader(Headers.ISSUED_MILLIS, Long.toString(startedAtMillis))
          .putHeader(Headers.DEADLINE_MILLIS, Long.toString(deadlineMillis));
      return request.send(idempotent ? "" : "cut " + requestId);
    }

    private void finish(HttpClientResponse response, Buffer body) {
      String outcome = String.valueOf(response.getHeader(Headers.OUTCOME));
      Verdict verdict =
          switch (outcome) {
            case "answered" -> Verdict.ANSWERED;
            case "not-run" -> Verdict.NOT_RUN;
            default -> Verdict.MAY_HAVE_RUN;
          };
      boolean wrong =
          verdict == Verdict.ANSWERED
              && response.statusCode() == 200
              && !body.toString().equals("answer to " + requestId);
      record(verdict, wrong, String.valueOf(response.getHeader(Headers.REASON)));
    }

    private void onConnectionFailure() {
      if (attempts < MAX_ATTEMPTS) {
        vertx.setTimer(RETRY_WAIT_MILLIS, id -> attempt());
      } else {
        record(Verdict.BROKEN, false, "connection");
      }
    }

    private void record(Verdict verdict, boolean wrong, String reason) {
      long elapsedMillis = System.currentTimeMillis() - startedAtMillis;
      records.add(
          new RequestRecord(requestId, service, idempotent, verdict, wrong, elapsedMillis, reason));
      open.decrementAndGet();
    }
  }
}
