package org.plantainknot.core.claim;

/**
 * Limits of the claim table, which must be the same on all members.
 *
 * @param windowMillis time for which a claim is kept after the request was issued
 * @param futureMillis maximum time by which a caller's clock may be ahead of the replicated log's
 *     clock
 * @param maxClaims maximum number of claims in the table
 * @param maxAnswerBytes maximum size of a body that is stored for resends
 * @param maxStoredBytes maximum total size of all stored bodies
 */
public record ClaimLimits(
    long windowMillis, long futureMillis, int maxClaims, int maxAnswerBytes, long maxStoredBytes) {

  /** Limits for the current fleet sizes. */
  public static final ClaimLimits DEFAULT =
      new ClaimLimits(600_000, 30_000, 100_000, 16 << 10, 64L << 20);
}
