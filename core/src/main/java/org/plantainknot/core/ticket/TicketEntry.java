package org.plantainknot.core.ticket;

import java.util.List;
import org.plantainknot.core.error.Finding;

/**
 * A ticket with its status and history.
 *
 * @param ticket the ticket
 * @param status present status
 * @param filedBy operator who filed it
 * @param decidedBy operator who approved or withdrew it, or null
 * @param findings reasons for a refusal; empty if it was not refused
 * @param startedIndex index of the log entry that started it, or 0
 * @param approvedAtMillis time of its approval, or 0
 * @param inForceAtMillis time at which it was marked in force on every gateway, or 0
 * @param completeAtMillis time at which its last VM move or reboot was done, or 0
 */
public record TicketEntry(
    Ticket ticket,
    TicketStatus status,
    String filedBy,
    String decidedBy,
    List<Finding> findings,
    long startedIndex,
    long approvedAtMillis,
    long inForceAtMillis,
    long completeAtMillis) {

  /** Returns a newly filed ticket, which is refused if there are findings. */
  public static TicketEntry filed(Ticket ticket, String filedBy, List<Finding> findings) {
    TicketStatus status = findings.isEmpty() ? TicketStatus.FILED : TicketStatus.REFUSED;
    return new TicketEntry(ticket, status, filedBy, null, findings, 0, 0, 0, 0);
  }

  /** Returns the ticket after an operator's decision. */
  public TicketEntry decided(Decision decision, String operator, long nowMillis) {
    long approvedAt = decision == Decision.APPROVE ? nowMillis : 0;
    return new TicketEntry(
        ticket, decision.status(), filedBy, operator, findings, 0, approvedAt, 0, 0);
  }

  /** Returns the ticket as refused for the given reasons. */
  public TicketEntry refused(List<Finding> reasons) {
    return new TicketEntry(ticket, TicketStatus.REFUSED, filedBy, decidedBy, reasons, 0, 0, 0, 0);
  }

  /** Returns the ticket as started by a log entry. */
  public TicketEntry started(long index) {
    return new TicketEntry(
        ticket, TicketStatus.STARTED, filedBy, decidedBy, findings, index, approvedAtMillis, 0, 0);
  }

  /** Returns the ticket as in force on every gateway. */
  public TicketEntry inForce(long nowMillis) {
    return new TicketEntry(
        ticket,
        TicketStatus.IN_FORCE,
        filedBy,
        decidedBy,
        findings,
        startedIndex,
        approvedAtMillis,
        nowMillis,
        0);
  }

  /** Returns the ticket as complete. */
  public TicketEntry complete(long nowMillis) {
    return new TicketEntry(
        ticket,
        TicketStatus.COMPLETE,
        filedBy,
        decidedBy,
        findings,
        startedIndex,
        approvedAtMillis,
        inForceAtMillis,
        nowMillis);
  }
}
