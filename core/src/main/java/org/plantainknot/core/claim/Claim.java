package org.plantainknot.core.claim;

/**
 * Exclusive right of one attempt to dispatch a non-idempotent request.
 *
 * @param key cluster-wide key of the request
 * @param contentHash hash of the request's content, to detect a key reused for another request
 * @param issuedMillis time at which the caller issued the request
 * @param gateway gateway process that holds the claim
 * @param attempt identifier of the attempt that holds the claim
 * @param outcome outcome of the request
 * @param answer answer stored for resends, or null
 */
public record Claim(
    ClaimKey key,
    String contentHash,
    long issuedMillis,
    String gateway,
    String attempt,
    ClaimOutcome outcome,
    StoredAnswer answer) {

  /** Returns the closed claim with the given outcome and answer. */
  public Claim closed(ClaimOutcome finalOutcome, StoredAnswer storedAnswer) {
    return new Claim(key, contentHash, issuedMillis, gateway, attempt, finalOutcome, storedAnswer);
  }
}
