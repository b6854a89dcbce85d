package org.plantainknot.daemon.caller;

import java.util.Locale;
import java.util.Set;

/** HTTP headers exchanged by callers, gateways and targets. */
public final class Headers {

  /** Identifier of the request, unique per caller. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Name of the caller. */
  public static final String CALLER = "Plantainknot-Caller";

  /** Time at which the caller issued the request, as Unix time in milliseconds. */
  public static final String ISSUED_MILLIS = "Plantainknot-Issued-Millis";

  /** Number of this attempt, starting at 1; without it the request may be a retry. */
  public static final String ATTEMPT = "Plantainknot-Attempt";

  /** Remaining time until the deadline, in milliseconds. */
  public static final String DEADLINE_MILLIS = "Plantainknot-Deadline-Millis";

  /** Kind of work: urgent, normal or bulk. */
  public static final String KIND = "Plantainknot-Kind";

  /** Outcome of the request: answered, not-run or may-have-run. */
  public static final String OUTCOME = "Plantainknot-Outcome";

  /** Why no target has answered the request. */
  public static final String REASON = "Plantainknot-Reason";

  /** Identifier of the dispatch; a target that echoes it shows which request it answers. */
  public static final String CORRELATION = "Plantainknot-Correlation";

  private static final Set<String> NOT_FORWARDED =
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

  /**
   * Returns whether a header is forwarded. Hop-by-hop headers (RFC 9110, section 7.6.1), Host,
   * Content-Length and the headers of this protocol are not.
   */
  public static boolean isForwarded(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return !NOT_FORWARDED.contains(lower) && !lower.startsWith("plantainknot-");
  }
}
