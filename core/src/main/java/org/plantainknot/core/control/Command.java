package org.plantainknot.core.control;

import org.plantainknot.core.claim.Claim;
import org.plantainknot.core.claim.ClaimKey;
import org.plantainknot.core.claim.ClaimOutcome;
import org.plantainknot.core.claim.StoredAnswer;
import org.plantainknot.core.fleet.Announcement;
import org.plantainknot.core.ticket.Decision;
import org.plantainknot.core.ticket.Ticket;

/** Change of the replicated state. */
public sealed interface Command {

  /**
   * Files a ticket.
   *
   * @param ticket the ticket
   * @param operator operator who files it
   */
  record FileTicket(Ticket ticket, String operator) implements Command {}

  /**
   * Approves or withdraws a ticket.
   *
   * @param number number of the ticket
   * @param decision the decision
   * @param operator operator who decides
   */
  record DecideTicket(long number, Decision decision, String operator) implements Command {}

  /**
   * Starts an approved ticket whose time has come.
   *
   * @param number number of the ticket
   */
  record StartTicket(long number) implements Command {}

  /**
   * Notes that a started ticket holds on every gateway.
   *
   * @param number number of the ticket
   */
  record MarkInForce(long number) implements Command {}

  /**
   * Notes what a target says of itself.
   *
   * @param vm name of the VM
   * @param announcement what it says
   */
  record Announce(String vm, Announcement announcement) implements Command {}

  /**
   * Notes that a target has stopped announcing itself.
   *
   * @param vm name of the VM
   * @param instance instance that is gone
   */
  record MarkGone(String vm, String instance) implements Command {}

  /**
   * Takes a VM a step further on its way to what its tickets want.
   *
   * @param vm name of the VM
   * @param step the step
   */
  record StepVm(String vm, MoveStep step) implements Command {}

  /**
   * Claims a non-idempotent request.
   *
   * @param claim the claim, open
   */
  record OpenClaim(Claim claim) implements Command {}

  /**
   * Ends a claim.
   *
   * @param key name of the request
   * @param attempt attempt that holds the claim
   * @param outcome how it ended
   * @param answer answer to store, or null
   */
  record CloseClaim(ClaimKey key, String attempt, ClaimOutcome outcome, StoredAnswer answer)
      implements Command {}

  /**
   * Notes a gateway process that asks for a lease.
   *
   * @param node name of its node
   * @param process identifier of the process
   */
  record GatewayUp(String node, String process) implements Command {}

  /**
   * Notes a gateway process whose lease has surely run out, or that has stopped.
   *
   * @param node name of its node
   * @param process identifier of the process
   * @param quiet whether it is known to have no request in progress
   */
  record GatewayDown(String node, String process, boolean quiet) implements Command {}

  /**
   * Puts the next division of slots in force.
   *
   * @param version number of the division
   */
  record SettleShares(long version) implements Command {}
}
