package org.plantainknot.core.schedule;

/** Outcome of an order to a worker. */
public enum CallOutcome {
  /** The worker executed the order. */
  ACCEPTED(false),
  /** The worker has seen a higher fencing token. */
  FENCED(true),
  /**
   * A run of the same task with this number or a higher one was already stopped or has ended on the
   * worker.
   */
  OLD(true),
  /** The order arrived after the deadline that it contains. */
  LATE(true),
  /** The worker has insufficient free resources. */
  NO_ROOM(true),
  /** The worker lacks a valid ticket for the step. */
  NO_TICKET(true),
  /** The worker temporarily refuses work and did not execute the order. */
  UNHEALTHY(true),
  /** The worker cannot parse the order. */
  INVALID(true),
  /** A different incarnation answers at the address. */
  OTHER_LIFE(true),
  /** Nothing listens at the worker's address, so the order was not delivered. */
  NO_LISTENER(true),
  /** No answer arrived; the order may have been executed or may still be executed later. */
  NO_ANSWER(false);

  private final boolean refused;

  CallOutcome(boolean refused) {
    this.refused = refused;
  }

  /** Returns whether this copy of the order is guaranteed not to be executed, now or later. */
  public boolean isRefused() {
    return refused;
  }
}
