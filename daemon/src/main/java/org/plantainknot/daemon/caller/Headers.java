package org.plantainknot.daemon.caller;

import java.util.Locale;
import java.util.Set;

/** Names of the headers between callers, gateways and targets. */
public final class Headers {

  /** Identifier of the request, unique for its caller. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Name of the caller. */
  public static final String CALLER = "Plantainknot-Caller";

  /** Time at which the caller issued the request, in milliseconds since 1970. */
  public static final String ISSUED_MILLIS = "Plantainknot-Issued-Millis";

  /** Number of this attempt at the request, from 1; without it the request may be a resend. */
  public static final String ATTEMPT = "Plantainknot-Attempt";

  /** Time that is left until the answer is needed, in milliseconds. */
  public static final String DEADLINE_MILLIS = "Plantainknot-Deadline-Millis";

  /** Kind of work: urgent, normal or bulk. */
  public static final String KIND = "Plantainknot-Kind";

  /** What became of the request: answered, not-run or may-have-run. */
  public static final String OUTCOME = "Plantainknot-Outcome";

  /** Why the request was not answered. */
  public static final String REASON = "Plantainknot-Reason";

  /** Identifier of the dispatch; a target that returns it proves whose answer it gives. */
  public static final String CORRELATION = "Plantainknot-Correlation";

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "host",
          "content-length");

  private Headers() {}

  /** Returns whether a header is passed on (RFC 9110, section 7.6.1). */
  public static boolean isPassedOn(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return !HOP_BY_HOP.contains(lower) && !lower.startsWith("plantainknot-");
  }
}
