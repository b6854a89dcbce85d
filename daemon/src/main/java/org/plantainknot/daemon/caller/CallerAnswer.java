package org.plantainknot.daemon.caller;

import io.vertx.mutiny.core.MultiMap;
import io.vertx.mutiny.core.buffer.Buffer;

/**
 * Answer to a caller.
 *
 * @param outcome what became of the request
 * @param status HTTP status
 * @param headers headers to pass on
 * @param body body, never null
 * @param reason why there is no target's answer, or null
 */
public record CallerAnswer(
    Outcome outcome, int status, MultiMap headers, Buffer body, String reason) {

  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int CONFLICT = 409;

  /** Returns a target's answer. */
  public static CallerAnswer answered(int status, MultiMap headers, Buffer body) {
    return new CallerAnswer(Outcome.ANSWERED, status, headers, body, null);
  }

  /** Returns an answer for a request of which nothing was sent to a target. */
  public static CallerAnswer notRun(String reason) {
    return notRun(UNAVAILABLE, reason);
  }

  /** Returns an answer for a request that can't be run as it is. */
  public static CallerAnswer notRun(int status, String reason) {
    return of(Outcome.NOT_RUN, status, reason);
  }

  /** Returns an answer for a request that may have run. */
  public static CallerAnswer mayHaveRun(String reason) {
    return of(Outcome.MAY_HAVE_RUN, GATEWAY_TIMEOUT, reason);
  }

  /** Returns an answer for a request that another attempt is running. */
  public static CallerAnswer inProgress() {
    return of(Outcome.MAY_HAVE_RUN, CONFLICT, "in progress");
  }

  private static CallerAnswer of(Outcome outcome, int status, String reason) {
    return new CallerAnswer(
        outcome, status, MultiMap.caseInsensitiveMultiMap(), Buffer.buffer(reason + "\n"), reason);
  }
}
