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

/** All tickets, and the rules of their status transitions. */
public final class TicketBook {

  private final SortedMap<Long, TicketEntry> tickets = new TreeMap<>();
  private final Fleet fleet;

  /** Creates an empty book whose started tickets are applied to the fleet. */
  public TicketBook(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Returns all tickets in order of their numbers. */
  public Collection<TicketEntry> entries() {
    return Collections.unmodifiableCollection(tickets.values());
  }

  /** Returns the ticket with the number, if it was filed. */
  public Optional<TicketEntry> entry(long number) {
    return Optional.ofNullable(tickets.get(number));
  }

  /** Files a ticket; filing the same content again returns the same result. */
  public Result file(Ticket ticket, String operator, long nowMillis) {
    TicketEntry present = tickets.get(ticket.number());
    if (present != null) {
      return refilingResult(present, ticket);
    }
    List<Finding> findings = TicketChecks.check(ticket, fleet, nowMillis);
    if (ticket.number() > 0) {
      tickets.put(ticket.number(), TicketEntry.filed(ticket, operator, findings));
    }
    return filingResult(ticket, findings);
  }

  /** Approves or withdraws a ticket; repeating a decision returns the same result. */
  public Result decide(long number, Decision decision, String operator, long nowMillis) {
    TicketEntry entry = tickets.get(number);
    if (entry == null) {
      return Result.refused(ErrorCode.NOT_FOUND, "ticket " + number + " was never filed");
    }
    if (!entry.status().isOpen()) {
      return repeatedDecisionResult(entry, decision);
    }
    if (decision == Decision.APPROVE) {
      List<Finding> conflicts = findConflicts(entry.ticket());
      if (!conflicts.isEmpty()) {
        tickets.put(number, entry.refused(conflicts));
        return Result.refused(
            ErrorCode.SUPERSEDED, "ticket " + number + " is superseded", conflicts);
      }
    }
    tickets.put(number, entry.decided(decision, operator, nowMillis));
    return Result.accepted("ticket " + number + " is " + decision.status());
  }

  /**
   * Returns the numbers of the approved tickets whose start time has passed, in ascending order.
   */
  public List<Long> due(long nowMillis) {
    return tickets.values().stream()
        .filter(e -> e.status() == TicketStatus.APPROVED)
        .filter(e -> e.ticket().startMillis() <= nowMillis)
        .map(e -> e.ticket().number())
        .toList();
  }

  /**
   * Starts an approved ticket: its state becomes the desired state of the fleet.
   *
   * @param index index of the log entry that starts it
   */
  public Result start(long number, long index) {
    TicketEntry entry = tickets.get(number);
    if (entry == null || entry.status() != TicketStatus.APPROVED) {
      return Result.refused(ErrorCode.STALE, "ticket " + number + " is not waiting to start");
    }
    applyToFleet(entry.ticket());
    tickets.put(number, entry.started(index));
    return Result.accepted("ticket " + number + " has started");
  }

  /** Records that a started ticket is in force on every gateway. */
  public Result markInForce(long number, long nowMillis) {
    TicketEntry entry = tickets.get(number);
    if (entry == null || entry.status() != TicketStatus.STARTED) {
      return Result.refused(ErrorCode.STALE, "ticket " + number + " has not just started");
    }
    tickets.put(number, entry.inForce(nowMillis));
    completeFinished(nowMillis);
    return Result.accepted("ticket " + number + " is in force");
  }

  /** Completes the tickets in force whose VM moves and reboots are all done. */
  public void completeFinished(long nowMillis) {
    for (TicketEntry entry : List.copyOf(tickets.values())) {
      if (entry.status() == TicketStatus.IN_FORCE && isFullyApplied(entry.ticket())) {
        tickets.put(entry.ticket().number(), entry.complete(nowMillis));
      }
    }
  }

  /** Replaces the content with that of a snapshot. */
  public void restore(List<TicketEntry> entries) {
    tickets.clear();
    entries.forEach(e -> tickets.put(e.ticket().number(), e));
  }

  private Result refilingResult(TicketEntry present, Ticket ticket) {
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

  private static Result repeatedDecisionResult(TicketEntry entry, Decision decision) {
    long number = entry.ticket().number();
    boolean isRepeat =
        decision == Decision.APPROVE
            ? entry.status().isBinding()
            : entry.status() == decision.status();
    if (isRepeat) {
      return Result.accepted("ticket " + number + " is " + decision.status());
    }
    return Result.refused(
        ErrorCode.WRONG_STATUS,
        "ticket " + number + " is " + entry.status() + ", " + decision + " came too late",
        entry.findings());
  }

  /**
   * Returns a finding for each touched item for which an approval would let an older desired state
   * overwrite a newer one.
   *
   * <p>Approved tickets that touch the same item must start in the order of their numbers.
   */
  private List<Finding> findConflicts(Ticket ticket) {
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
    boolean hasHigherNumber = other.ticket().number() > ticket.number();
    boolean startsLater =
        other.status() == TicketStatus.APPROVED
            && other.ticket().startMillis() > ticket.startMillis();
    return hasHigherNumber || startsLater;
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
    ticket
        .vms()
        .forEach(v -> fleet.put(fleet.getOrCreateVm(v.name()).withDesiredPool(v.pool(), number)));
    ticket.waves().forEach(w -> scheduleReboots(w.pool(), number));
  }

  private void scheduleReboots(String pool, long number) {
    fleet.vms().stream()
        .filter(vm -> pool.equals(vm.desiredPool()))
        .toList()
        .forEach(vm -> fleet.put(vm.withPendingReboot(number)));
  }

  private boolean isFullyApplied(Ticket ticket) {
    boolean moved =
        ticket.vms().stream()
            .flatMap(v -> fleet.vm(v.name()).stream())
            .allMatch(vm -> TicketChecks.isSatisfied(ticket, vm));
    boolean rebooted =
        fleet.vms().stream().map(Vm::rebootTicket).noneMatch(t -> t == ticket.number());
    return moved && rebooted;
  }
}
