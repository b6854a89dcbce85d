package org.plantainknot.core.claim;

/**
 * Right to run a non-idempotent request once.
 *
 * @param key name of the request
 * @param contentHash hash of what the request asks for
 * @param issuedMillis time at which the caller issued the request
 * @param gateway gateway process that holds the claim
 * @param attempt identifier of the attempt that got it
 * @param outcome how it ended
 * @param answer stored answer, or null
 */
public record Claim(
    ClaimKey key,
    String contentHash,
    long issuedMillis,
    String gateway,
    String attempt,
    ClaimOutcome outcome,
    StoredAnswer answer) {

  /** Returns the claim with its end. */
  public Claim closed(ClaimOutcome end, StoredAnswer stored) {
    return new Claim(key, contentHash, issuedMillis, gateway, attempt, end, stored);
  }
}
