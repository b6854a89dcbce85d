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
    long issuedMillis) {}
