package org.plantainknot.core.schedule;

/** Outcome of an order for a machine. */
public enum MachineOutcome {
  /** The order is carried out, or was carried out before. */
  ACCEPTED,
  /** The machine is not up, or its worker is leaving. */
  BUSY,
  /**
   * The platform refuses the order, which this call has not carried out: it knows no such machine,
   * the pool is one of other machines, or the machine isn't one of the wave.
   */
  IMPOSSIBLE,
  /** A leader of a later term has sent an order for this machine. */
  FENCED,
  /** The platform refused the call because of its rate limit; nothing was done. */
  RATE_LIMITED,
  /** No answer came; the order may have been carried out. */
  NO_ANSWER
}
