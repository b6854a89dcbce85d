package org.plantainknot.core.ticket;

/** What an operator decides about a filed ticket. */
public enum Decision {
  /** The ticket is to start at its time. */
  APPROVE(TicketStatus.APPROVED),
  /** The ticket is taken back. */
  WITHDRAW(TicketStatus.WITHDRAWN);

  private final TicketStatus status;

  Decision(TicketStatus status) {
    this.status = status;
  }

  /** Returns the status that the decision leads to. */
  public TicketStatus status() {
    return status;
  }
}
