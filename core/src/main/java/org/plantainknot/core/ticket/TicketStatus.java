package org.plantainknot.core.ticket;

/** Status of a ticket. */
public enum TicketStatus {
  /** Filed without findings; waits for a decision. */
  FILED(true, false),
  /** Approved; waits for its start time. Can't be withdrawn. */
  APPROVED(false, true),
  /** Started; not yet known to be in force on every gateway. */
  STARTED(false, true),
  /** In force on every gateway; VM moves or reboots are pending. */
  IN_FORCE(false, true),
  /** All VM moves and reboots are done. */
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

  /** Returns whether the ticket was approved, regardless of its progress since. */
  public boolean isBinding() {
    return binding;
  }
}
