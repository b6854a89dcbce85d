package org.plantainknot.daemon.caller;

import io.vertx.mutiny.core.MultiMap;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.Optional;
import org.plantainknot.core.admission.WorkKind;
import org.plantainknot.core.claim.ClaimKey;
import org.plantainknot.core.error.Findings;
import org.plantainknot.daemon.control.Clock;

/** Parses a caller's request and validates its headers. */
final class RequestParser {

  private static final int MAX_HEADERS = 100;
  private static final long MAX_ATTEMPT = 1_000_000;
  private static final int MAX_KEY_LENGTH = 128;
  private static final String KEY_PATTERN = "[\\x21-\\x7e]{1," + MAX_KEY_LENGTH + "}";

  private final long requestMaxMillis;

  RequestParser(long requestMaxMillis) {
    this.requestMaxMillis = requestMaxMillis;
  }

  /**
   * Returns the parsed request.
   *
   * @throws org.plantainknot.core.error.PlantainknotException with all findings, if a header is
   *     invalid
   */
  CallerRequest parse(RoutingContext context) {
    HttpServerRequest request = context.request();
    Findings findings = new Findings();
    findings.require(
        request.headers().size() <= MAX_HEADERS, "headers", "must be at most " + MAX_HEADERS);
    WorkKind kind = parseKind(request, findings);
    long timeoutMillis =
        parseNumber(
            request, Headers.DEADLINE_MILLIS, 1, requestMaxMillis, requestMaxMillis, findings);
    long issuedMillis = parseNumber(request, Headers.ISSUED_MILLIS, 1, Long.MAX_VALUE, 0, findings);
    long attempt = parseNumber(request, Headers.ATTEMPT, 1, MAX_ATTEMPT, 0, findings);
    ClaimKey key = parseKey(request, findings);
    findings.throwIfAny("the request can't be run");
    Buffer body = context.body().buffer() == null ? Buffer.buffer() : context.body().buffer();
    return new CallerRequest(
        context.pathParam("service"),
        request.method(),
        targetUri(context),
        forwardedHeaders(request.headers()),
        body,
        kind,
        Clock.nowMillis() + timeoutMillis,
        key,
        issuedMillis,
        attempt);
  }

  private static WorkKind parseKind(HttpServerRequest request, Findings findings) {
    String name = request.getHeader(Headers.KIND);
    if (name == null) {
      return WorkKind.NORMAL;
    }
    Optional<WorkKind> kind = WorkKind.parse(name);
    findings.require(kind.isPresent(), Headers.KIND, "must be urgent, normal or bulk");
    return kind.orElse(WorkKind.NORMAL);
  }

  private static long parseNumber(
      HttpServerRequest request,
      String header,
      long min,
      long max,
      long defaultValue,
      Findings findings) {
    String text = request.getHeader(header);
    if (text == null) {
      return defaultValue;
    }
    try {
      long value = Long.parseLong(text);
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below, like a number out of range.
    }
    findings.add(header, "must be a whole number from " + min + " to " + max);
    return defaultValue;
  }

  private static ClaimKey parseKey(HttpServerRequest request, Findings findings) {
    String requestId = request.getHeader(Headers.IDEMPOTENCY_KEY);
    String caller = request.getHeader(Headers.CALLER);
    if (requestId == null) {
      return null;
    }
    findings.require(
        requestId.matches(KEY_PATTERN),
        Headers.IDEMPOTENCY_KEY,
        "must be 1 to " + MAX_KEY_LENGTH + " visible ASCII characters");
    findings.require(
        caller != null && caller.matches(KEY_PATTERN),
        Headers.CALLER,
        "must be 1 to " + MAX_KEY_LENGTH + " visible ASCII characters");
    return new ClaimKey(String.valueOf(caller), requestId);
  }

  private static String targetUri(RoutingContext context) {
    String prefix = "/services/" + context.pathParam("service");
    String rest = context.request().uri().substring(prefix.length());
    return rest.startsWith("/") ? rest : "/" + rest;
  }

  private static MultiMap forwardedHeaders(MultiMap headers) {
    MultiMap forwarded = MultiMap.caseInsensitiveMultiMap();
    headers.forEach(
        entry -> {
          if (Headers.isForwarded(entry.getKey())) {
            forwarded.add(entry.getKey(), entry.getValue());
          }
        });
    return forwarded;
  }
}
