package org.plantainknot.core.claim;

/** How a claimed request ended, or that it has not. */
public enum ClaimOutcome {
  /** The claiming gateway may be running it. */
  OPEN,
  /** The target answered. */
  ANSWERED,
  /** Nothing was sent to a target; another attempt may claim the request. */
  NOT_RUN,
  /** A target may have run it; it will never be run again. */
  MAY_HAVE_RUN
}
