package org.plantainknot.bench.load;

/**
 * A request and what its caller was told.
 *
 * @param requestId identifier of the request
 * @param service service that was asked
 * @param idempotent whether it may be run again
 * @param verdict what the caller was told last
 * @param wrong whether the answer was not the request's own
 * @param tookMillis time until then
 * @param reason why it was not answered, as the caller was told
 */
public record RequestRecord(
    String requestId,
    String service,
    boolean idempotent,
    Verdict verdict,
    boolean wrong,
    long tookMillis,
    String reason) {

  /** What a caller was told. */
  public enum Verdict {
    /** The whole answer in time. */
    ANSWERED,
    /** It was not run. */
    NOT_RUN,
    /** It may have run. */
    MAY_HAVE_RUN,
    /** The connection to the entry VM broke without a word. */
    BROKEN
  }
}
