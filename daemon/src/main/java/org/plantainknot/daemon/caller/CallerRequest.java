package org.plantainknot.daemon.caller;

import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.MultiMap;
import io.vertx.mutiny.core.buffer.Buffer;
import org.plantainknot.core.admission.WorkKind;
import org.plantainknot.core.claim.ClaimKey;

/**
 * A caller's request, checked.
 *
 * @param service service that is asked
 * @param method HTTP method
 * @param uri path and query for the target
 * @param headers headers to pass on
 * @param body whole body
 * @param kind kind of work
 * @param deadlineMillis time on the monotonic clock by which the answer is needed
 * @param key name of the request, or null if the caller gave none
 * @param issuedMillis time since 1970 at which it was issued, or 0 if the caller gave none
 * @param attempt number of the attempt, or 0 if the caller gave none
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
   * Returns the answer for a request that this attempt doesn't run.
   *
   * <p>What became of an earlier attempt is not known here, so that only the first one can be told
   * that the request was not run.
   *
   * @param idempotent whether the request may be run again
   * @param reason why it isn't run
   */
  CallerAnswer declined(boolean idempotent, String reason) {
    boolean first = attempt == 1 || (attempt == 0 && idempotent);
    return first ? CallerAnswer.notRun(reason) : CallerAnswer.mayHaveRun(reason);
  }
}
