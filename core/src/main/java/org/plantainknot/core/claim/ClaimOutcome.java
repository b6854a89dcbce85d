package org.plantainknot.core.claim;

/** Outcome of a claimed request. */
public enum ClaimOutcome {
  /** The request has not ended; the claiming gateway may be running it. */
  OPEN,
  /** The target answered. */
  ANSWERED,
  /** The request was not sent to a target; another attempt may claim it. */
  NOT_RUN,
  /** A target may have run the request; it is never run again. */
  MAY_HAVE_RUN
}
