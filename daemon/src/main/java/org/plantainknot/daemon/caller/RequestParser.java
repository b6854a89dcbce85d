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

/** Reads a caller's request and checks its headers. */
final class RequestParser {

  private static final int MAX_HEADERS = 100;
  private static final long MAX_ATTEMPT = 1_000_000;
  private static final int MAX_KEY_LENGTH = 128;
  private static final String NAME_PATTERN = "[\\x21-\\x7e]{1," + MAX_KEY_LENGTH + "}";

  private final long requestMaxMillis;

  RequestParser(long requestMaxMillis) {
    this.requestMaxMillis = requestMaxMillis;
  }

  /** Returns the request, or throws with all findings. */
  CallerRequest parse(RoutingContext context) {
    HttpServerRequest request = context.request();
    Findings findings = new Findings();
    findings.require(
        request.headers().size() <= MAX_HEADERS, "headers", "are more than " + MAX_HEADERS);
    WorkKind kind = kindOf(request, findings);
    long timeoutMillis =
        number(request, Headers.DEADLINE_MILLIS, 1, requestMaxMillis, requestMaxMillis, findings);
    long issuedMillis = number(request, Headers.ISSUED_MILLIS, 1, Long.MAX_VALUE, 0, findings);
    long attempt = number(request, Headers.ATTEMPT, 1, MAX_ATTEMPT, 0, findings);
    ClaimKey key = keyOf(request, findings);
    findings.throwIfAny("the request can't be run");
    Buffer body = context.body().buffer() == null ? Buffer.buffer() : context.body().buffer();
    return new CallerRequest(
        context.pathParam("service"),
        request.method(),
        targetUri(context),
        passedOn(request.headers()),
        body,
        kind,
        Clock.nowMillis() + timeoutMillis,
        key,
        issuedMillis,
        attempt);
  }

  private static WorkKind kindOf(HttpServerRequest request, Findings findings) {
    String name = request.getHeader(Headers.KIND);
    if (name == null) {
      return WorkKind.NORMAL;
    }
    Optional<WorkKind> kind = WorkKind.parse(name);
    findings.require(kind.isPresent(), Headers.KIND, "must be urgent, normal or bulk");
    return kind.orElse(WorkKind.NORMAL);
  }

  private static long number(
      HttpServerRequest request, String header, long min, long max, long absent, Findings found) {
    String text = request.getHeader(header);
    if (text == null) {
      return absent;
    }
    try {
      long value = Long.parseLong(text);
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below together with numbers out of range.
    }
    found.add(header, "must be a whole number from " + min + " to " + max);
    return absent;
  }

  private static ClaimKey keyOf(HttpServerRequest request, Findings findings) {
    String requestId = request.getHeader(Headers.IDEMPOTENCY_KEY);
    String caller = request.getHeader(Headers.CALLER);
    if (requestId == null) {
      return null;
    }
    findings.require(
        requestId.matches(NAME_PATTERN),
        Headers.IDEMPOTENCY_KEY,
        "must be 1 to " + MAX_KEY_LENGTH + " visible ASCII characters");
    findings.require(
        caller != null && caller.matches(NAME_PATTERN),
        Headers.CALLER,
        "must be 1 to " + MAX_KEY_LENGTH + " visible ASCII characters");
    return new ClaimKey(String.valueOf(caller), requestId);
  }

  private static String targetUri(RoutingContext context) {
    String prefix = "/services/" + context.pathParam("service");
    String rest = context.request().uri().substring(prefix.length());
    return rest.startsWith("/") ? rest : "/" + rest;
  }

  private static MultiMap passedOn(MultiMap headers) {
    MultiMap passed = MultiMap.caseInsensitiveMultiMap();
    headers.forEach(
        entry -> {
          if (Headers.isPassedOn(entry.getKey())) {
            passed.add(entry.getKey(), entry.getValue());
          }
        });
    return passed;
  }
}
