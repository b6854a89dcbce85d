package org.plantainknot.daemon.caller;

import io.vertx.mutiny.core.MultiMap;
import io.vertx.mutiny.core.buffer.Buffer;

/**
 * Answer to a caller's request.
 *
 * @param outcome whether a target has answered the request, or may have run it
 * @param status HTTP status
 * @param headers headers to forward to the caller
 * @param body response body, never null
 * @param reason why no target has answered, or null if one has
 */
public record CallerAnswer(
    Outcome outcome, int status, MultiMap headers, Buffer body, String reason) {

  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int CONFLICT = 409;

  /** Returns an answer that a target gave. */
  public static CallerAnswer answered(int status, MultiMap headers, Buffer body) {
    return new CallerAnswer(Outcome.ANSWERED, status, headers, body, null);
  }

  /** Returns an answer for a request that was not sent to any target, with status 503. */
  public static CallerAnswer notRun(String reason) {
    return notRun(UNAVAILABLE, reason);
  }

  /** Returns an answer for a request that was not sent to any target, with the given status. */
  public static CallerAnswer notRun(int status, String reason) {
    return of(Outcome.NOT_RUN, status, reason);
  }

  /** Returns an answer for a request that a target may have run, with status 504. */
  public static CallerAnswer mayHaveRun(String reason) {
    return of(Outcome.MAY_HAVE_RUN, GATEWAY_TIMEOUT, reason);
  }

  /**
   * Returns an answer for a request of which another attempt is still in progress, with status 409.
   */
  public static CallerAnswer inProgress() {
    return of(Outcome.MAY_HAVE_RUN, CONFLICT, "in progress");
  }

  private static CallerAnswer of(Outcome outcome, int status, String reason) {
    return new CallerAnswer(
        outcome, status, MultiMap.caseInsensitiveMultiMap(), Buffer.buffer(reason + "\n"), reason);
  }
}
