package org.plantainknot.daemon.target;

import io.vertx.mutiny.core.MultiMap;
import io.vertx.mutiny.core.buffer.Buffer;
import org.plantainknot.core.routing.TargetOutcome;

/**
 * Result of the attempt to run a request on a target.
 *
 * @param kind kind of the result
 * @param status HTTP status, or 0 without an answer
 * @param headers headers of the answer, or null
 * @param body complete body of the answer, or null
 * @param problem why there is no answer, or null
 */
public record TargetReply(Kind kind, int status, MultiMap headers, Buffer body, String problem) {

  private static final int SERVER_ERROR = 500;

  /** Kind of the result. */
  public enum Kind {
    /** The target answered completely. */
    ANSWERED,
    /** Nothing was sent to the target. */
    NOT_SENT,
    /** At least part of the request was sent, but no complete answer to it was received. */
    LOST
  }

  /** Returns the result of a request that the target answered. */
  public static TargetReply answered(int status, MultiMap headers, Buffer body) {
    return new TargetReply(Kind.ANSWERED, status, headers, body, null);
  }

  /** Returns the result of a request that was not sent. */
  public static TargetReply notSent(String problem) {
    return new TargetReply(Kind.NOT_SENT, 0, null, null, problem);
  }

  /** Returns the result of a request that was sent but whose answer was not received. */
  public static TargetReply lost(String problem) {
    return new TargetReply(Kind.LOST, 0, null, null, problem);
  }

  /** Returns the outcome that the router records for the target. */
  public TargetOutcome outcome() {
    if (kind == Kind.NOT_SENT) {
      return TargetOutcome.CONNECT_FAILED;
    }
    if (kind == Kind.LOST) {
      return TargetOutcome.NO_RESPONSE;
    }
    return status >= SERVER_ERROR ? TargetOutcome.FAILED : TargetOutcome.ANSWERED;
  }
}
