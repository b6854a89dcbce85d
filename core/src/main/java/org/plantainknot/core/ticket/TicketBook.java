package org.plantainknot.core.ticket;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.Finding;
import org.plantainknot.core.fleet.Fleet;
import org.plantainknot.core.fleet.Pool;
import org.plantainknot.core.fleet.Service;
import org.plantainknot.core.fleet.Vm;

/** All tickets, and the rules by which they go from one status to the next. */
public final class TicketBook {

  private final SortedMap<Long, TicketEntry> tickets = new TreeMap<>();
  private final Fleet fleet;

  /** Creates an empty book whose tickets change the fleet. */
  public TicketBook(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Returns all tickets by number. */
  public Collection<TicketEntry> entries() {
    return Collections.unmodifiableCollection(tickets.values());
  }

  /** Returns the ticket with the number, if it was filed. */
  public Optional<TicketEntry> entry(long number) {
    return Optional.ofNullable(tickets.get(number));
  }

  /** Files a ticket; the same content again gets the same answer. */
  public Result file(Ticket ticket, String operator, long nowMillis) {
    TicketEntry present = tickets.get(ticket.number());
    if (present != null) {
      return fileAgain(present, ticket);
    }
    List<Finding> findings = TicketChecks.check(ticket, fleet, nowMillis);
    if (ticket.number() > 0) {
      tickets.put(ticket.number(), TicketEntry.filed(ticket, operator, findings));
    }
    return filingResult(ticket, findings);
  }

  /** Approves or withdraws a ticket; a repeated decision gets the same answer. */
  public Result decide(long number, Decision decision, String operator, long nowMillis) {
    TicketEntry entry = tickets.get(number);
    if (entry == null) {
      return Result.refused(ErrorCode.NOT_FOUND, "ticket " + number + " was never filed");
    }
    if (!entry.status().isOpen()) {
      return decideAgain(entry, decision);
    }
    if (decision == Decision.APPROVE) {
      List<Finding> overtaken = overtakenBy(entry.ticket());
      if (!overtaken.isEmpty()) {
        tickets.put(number, entry.refused(overtaken));
        return Result.refused(
            ErrorCode.SUPERSEDED, "ticket " + number + " is superseded", overtaken);
      }
    }
    tickets.put(number, entry.decided(decision, operator, nowMillis));
    return Result.accepted("ticket " + number + " is " + decision.status());
  }

  /** Returns the approved tickets whose start has come, lowest number first. */
  public List<Long> due(long nowMillis) {
    return tickets.values().stream()
        .filter(e -> e.status() == TicketStatus.APPROVED)
        .filter(e -> e.ticket().startMillis() <= nowMillis)
        .map(e -> e.ticket().number())
        .toList();
  }

  /** Starts a ticket: its state becomes what the fleet is held to. */
  public Result start(long number, long index) {
    TicketEntry entry = tickets.get(number);
    if (entry == null || entry.status() != TicketStatus.APPROVED) {
      return Result.refused(ErrorCode.STALE, "ticket " + number + " is not waiting to start");
    }
    applyToFleet(entry.ticket());
    tickets.put(number, entry.started(index));
    return Result.accepted("ticket " + number + " has started");
  }

  /** Notes that a started ticket holds on every gateway. */
  public Result markInForce(long number, long nowMillis) {
    TicketEntry entry = tickets.get(number);
    if (entry == null || entry.status() != TicketStatus.STARTED) {
      return Result.refused(ErrorCode.STALE, "ticket " + number + " has not just started");
    }
    tickets.put(number, entry.inForce(nowMillis));
    completeArrived(nowMillis);
    return Result.accepted("ticket " + number + " is in force");
  }

  /** Marks the tickets complete whose VMs have all arrived. */
  public void completeArrived(long nowMillis) {
    for (TicketEntry entry : List.copyOf(tickets.values())) {
      if (entry.status() == TicketStatus.IN_FORCE && isArrived(entry.ticket())) {
        tickets.put(entry.ticket().number(), entry.complete(nowMillis));
      }
    }
  }

  /** Replaces the content by that of a snapshot. */
  public void restore(List<TicketEntry> entries) {
    tickets.clear();
    entries.forEach(e -> tickets.put(e.ticket().number(), e));
  }

  private Result fileAgain(TicketEntry present, Ticket ticket) {
    if (present.ticket().equals(ticket)) {
      boolean refusedAtFiling =
          present.status() == TicketStatus.REFUSED && present.decidedBy() == null;
      return filingResult(ticket, refusedAtFiling ? present.findings() : List.of());
    }
    return Result.refused(
        ErrorCode.NUMBER_TAKEN,
        "number " + ticket.number() + " belongs to the ticket filed by " + present.filedBy());
  }

  private static Result filingResult(Ticket ticket, List<Finding> findings) {
    return findings.isEmpty()
        ? Result.accepted("ticket " + ticket.number() + " is FILED")
        : Result.refused(
            ErrorCode.INVALID_INPUT, "ticket " + ticket.number() + " is refused", findings);
  }

  private static Result decideAgain(TicketEntry entry, Decision decision) {
    long number = entry.ticket().number();
    boolean same =
        decision == Decision.APPROVE
            ? entry.status().isBinding()
            : entry.status() == decision.status();
    if (same) {
      return Result.accepted("ticket " + number + " is " + decision.status());
    }
    return Result.refused(
        ErrorCode.WRONG_STATUS,
        "ticket " + number + " is " + entry.status() + ", " + decision + " came too late",
        entry.findings());
  }

  /**
   * Returns why an approval would let an older statement win over a newer one.
   *
   * <p>Among approved tickets that touch the same item, starts follow the numbers.
   */
  private List<Finding> overtakenBy(Ticket ticket) {
    Set<String> touched = new HashSet<>(ticket.touched());
    List<Finding> findings = new ArrayList<>();
    for (TicketEntry other : tickets.values()) {
      if (!other.status().isBinding()) {
        continue;
      }
      for (String item : other.ticket().touched()) {
        if (touched.contains(item) && isOutOfOrder(ticket, other)) {
          findings.add(new Finding(item, "is held by ticket " + other.ticket().number()));
        }
      }
    }
    return findings;
  }

  private static boolean isOutOfOrder(Ticket ticket, TicketEntry other) {
    boolean higher = other.ticket().number() > ticket.number();
    boolean startsLater =
        other.status() == TicketStatus.APPROVED
            && other.ticket().startMillis() > ticket.startMillis();
    return higher || startsLater;
  }

  private void applyToFleet(Ticket ticket) {
    long number = ticket.number();
    ticket.pools().forEach(p -> fleet.put(new Pool(p.name(), number)));
    ticket
        .services()
        .forEach(
            s ->
                fleet.put(
                    new Service(
                        s.name(),
                        s.pool(),
                        s.minAvailableVms(),
                        s.spare(),
                        s.idempotentMethods(),
                        number)));
    ticket.vms().forEach(v -> fleet.put(fleet.vmOrNew(v.name()).wanted(v.pool(), number)));
    ticket.waves().forEach(w -> orderReboots(w.pool(), number));
  }

  private void orderReboots(String pool, long number) {
    fleet.vms().stream()
        .filter(vm -> pool.equals(vm.desiredPool()))
        .toList()
        .forEach(vm -> fleet.put(vm.toReboot(number)));
  }

  private boolean isArrived(Ticket ticket) {
    boolean moved =
        ticket.vms().stream()
            .flatMap(v -> fleet.vm(v.name()).stream())
            .allMatch(vm -> TicketChecks.isDone(ticket, vm));
    boolean rebooted =
        fleet.vms().stream().map(Vm::rebootTicket).noneMatch(t -> t == ticket.number());
    return moved && rebooted;
  }
}
