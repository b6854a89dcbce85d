package org.plantainknot.core.ticket;

/** Decision of an operator on a filed ticket. */
public enum Decision {
  /** Lets the ticket start at its start time. */
  APPROVE(TicketStatus.APPROVED),
  /** Withdraws the ticket. */
  WITHDRAW(TicketStatus.WITHDRAWN);

  private final TicketStatus status;

  Decision(TicketStatus status) {
    this.status = status;
  }

  /** Returns the status of a ticket after the decision. */
  public TicketStatus status() {
    return status;
  }
}
