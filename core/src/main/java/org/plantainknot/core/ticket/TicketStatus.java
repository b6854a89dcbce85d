package org.plantainknot.core.ticket;

/** Where a ticket stands. */
public enum TicketStatus {
  /** Filed and without findings; waits for a decision. */
  FILED(true, false),
  /** Approved; waits for its start. Can't be taken back. */
  APPROVED(false, true),
  /** Started; not yet known to hold on every gateway. */
  STARTED(false, true),
  /** Holds on every gateway; VMs are on their way. */
  IN_FORCE(false, true),
  /** Every VM is where the ticket wants it. */
  COMPLETE(false, true),
  /** Withdrawn before it was approved. */
  WITHDRAWN(false, false),
  /** Refused, with reasons. */
  REFUSED(false, false);

  private final boolean open;
  private final boolean binding;

  TicketStatus(boolean open, boolean binding) {
    this.open = open;
    this.binding = binding;
  }

  /** Returns whether the ticket can still be approved or withdrawn. */
  public boolean isOpen() {
    return open;
  }

  /** Returns whether the ticket was approved, whatever has become of it since. */
  public boolean isBinding() {
    return binding;
  }
}
