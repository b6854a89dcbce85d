package org.plantainknot.core.claim;

/** Result of an attempt to claim a request. */
public enum ClaimVerdict {
  /** The attempt holds the claim and may dispatch once. */
  GRANTED,
  /** Another attempt holds the claim and its gateway is alive. */
  IN_PROGRESS,
  /** The request was answered; the stored answer is returned to the caller. */
  ANSWERED,
  /** The request may have run and is never run again. */
  MAY_HAVE_RUN,
  /** The same attempt has already ended without a dispatch. */
  ENDED,
  /** The request's issue time is outside the claim window, too old or too far in the future. */
  TOO_OLD,
  /** The claim table is full. */
  FULL,
  /** The key was already used for a request with different content. */
  OTHER_CONTENT
}
