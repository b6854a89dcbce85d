package org.plantainknot.daemon.caller;

import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.MultiMap;
import io.vertx.mutiny.core.buffer.Buffer;
import org.plantainknot.core.admission.WorkKind;
import org.plantainknot.core.claim.ClaimKey;

/**
 * Validated request of a caller.
 *
 * @param service name of the requested service
 * @param method HTTP method
 * @param uri path and query to send to the target
 * @param headers headers to forward to the target
 * @param body complete request body
 * @param kind kind of work, which sets the priority
 * @param deadlineMillis monotonic time by which the caller needs the answer
 * @param key identifier of the request, or null if the caller sent none
 * @param issuedMillis Unix time at which the caller issued the request, or 0 if unknown
 * @param attempt number of the attempt, starting at 1, or 0 if the caller sent none
 */
public record CallerRequest(
    String service,
    HttpMethod method,
    String uri,
    MultiMap headers,
    Buffer body,
    WorkKind kind,
    long deadlineMillis,
    ClaimKey key,
    long issuedMillis,
    long attempt) {

  /**
   * Returns the answer for a request that is rejected in this attempt.
   *
   * <p>Only a first attempt is answered with "not run": the outcome of an earlier attempt is not
   * known here.
   *
   * @param idempotent whether the request can safely run more than once
   * @param reason why the request is rejected
   */
  CallerAnswer rejection(boolean idempotent, String reason) {
    boolean first = attempt == 1 || (attempt == 0 && idempotent);
    return first ? CallerAnswer.notRun(reason) : CallerAnswer.mayHaveRun(reason);
  }
}
