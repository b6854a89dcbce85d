package org.plantainknot.bench.load;

/**
 * A finished request and its outcome as the caller saw it.
 *
 * @param requestId ID of the request
 * @param service service that the request was sent to
 * @param idempotent whether the request may be run more than once
 * @param verdict outcome that was reported to the caller
 * @param wrong whether the answer belongs to another request
 * @param elapsedMillis time from the first attempt until the outcome
 * @param reason reason reported to the caller, or {@code connection} after connection failures
 */
public record RequestRecord(
    String requestId,
    String service,
    boolean idempotent,
    Verdict verdict,
    boolean wrong,
    long elapsedMillis,
    String reason) {

  /** Outcome that was reported to a caller. */
  public enum Verdict {
    /** The complete answer arrived in time. */
    ANSWERED,
    /** The request was not run. */
    NOT_RUN,
    /** The request may have run. */
    MAY_HAVE_RUN,
    /** Every attempt failed on the connection, without a response from an entry VM. */
    BROKEN
  }
}
