package org.plantainknot.core.claim;

/**
 * Bounds of the claim table, the same on all members.
 *
 * @param windowMillis time after its issue for which a request's claim is kept
 * @param futureMillis how far ahead of the log's clock a caller's clock may be
 * @param maxClaims most claims that are kept
 * @param maxAnswerBytes largest body that is stored for resends
 * @param maxStoredBytes most bytes of all stored bodies
 */
public record ClaimLimits(
    long windowMillis, long futureMillis, int maxClaims, int maxAnswerBytes, long maxStoredBytes) {

  /** Bounds for the sizes of today. */
  public static final ClaimLimits DEFAULT =
      new ClaimLimits(600_000, 30_000, 100_000, 16 << 10, 64L << 20);
}
