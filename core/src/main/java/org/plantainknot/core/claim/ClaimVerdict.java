package org.plantainknot.core.claim;

/** Answer to the attempt to claim a request. */
public enum ClaimVerdict {
  /** The attempt holds the claim and may dispatch once. */
  GRANTED,
  /** Another attempt holds the claim and its gateway lives. */
  IN_PROGRESS,
  /** The request was answered; the stored answer applies. */
  ANSWERED,
  /** The request may have run and will not be run again. */
  MAY_HAVE_RUN,
  /** The same attempt has already ended, without a dispatch. */
  ENDED,
  /** The request is older than the window in which claims are kept. */
  TOO_OLD,
  /** No more claims can be kept. */
  FULL,
  /** The key belongs to a request with other content. */
  OTHER_CONTENT
}
