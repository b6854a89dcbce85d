package org.plantainknot.core.control;

import org.plantainknot.core.claim.Claim;
import org.plantainknot.core.claim.ClaimKey;
import org.plantainknot.core.claim.ClaimOutcome;
import org.plantainknot.core.claim.StoredAnswer;
import org.plantainknot.core.fleet.Announcement;
import org.plantainknot.core.ticket.Decision;
import org.plantainknot.core.ticket.Ticket;

/** Command that changes the replicated state. */
public sealed interface Command {

  /**
   * Files a ticket.
   *
   * @param ticket the ticket
   * @param operator name of the operator who files it
   */
  record FileTicket(Ticket ticket, String operator) implements Command {}

  /**
   * Approves or withdraws a ticket.
   *
   * @param number number of the ticket
   * @param decision approval or withdrawal
   * @param operator name of the operator who decides
   */
  record DecideTicket(long number, Decision decision, String operator) implements Command {}

  /**
   * Starts an approved ticket whose start time has been reached.
   *
   * @param number number of the ticket
   */
  record StartTicket(long number) implements Command {}

  /**
   * Records that every gateway has applied a started ticket or lost its lease.
   *
   * @param number number of the ticket
   */
  record MarkInForce(long number) implements Command {}

  /**
   * Records the announcement of a target.
   *
   * @param vm name of the VM
   * @param announcement address, location and capacity of the target
   */
  record Announce(String vm, Announcement announcement) implements Command {}

  /**
   * Records that a target has stopped announcing itself.
   *
   * @param vm name of the VM
   * @param instance instance of the target that is gone
   */
  record MarkGone(String vm, String instance) implements Command {}

  /**
   * Advances a VM by one step towards the state that its tickets require.
   *
   * @param vm name of the VM
   * @param step step to apply
   */
  record StepVm(String vm, MoveStep step) implements Command {}

  /**
   * Claims a non-idempotent request.
   *
   * @param claim claim to record, with an open outcome
   */
  record OpenClaim(Claim claim) implements Command {}

  /**
   * Closes a claim.
   *
   * @param key key of the claimed request
   * @param attempt identifier of the attempt that holds the claim
   * @param outcome outcome of the request
   * @param answer answer to store, or null for none
   */
  record CloseClaim(ClaimKey key, String attempt, ClaimOutcome outcome, StoredAnswer answer)
      implements Command {}

  /**
   * Registers a gateway process that has requested a lease.
   *
   * @param node name of its node
   * @param process identifier of the process
   */
  record GatewayUp(String node, String process) implements Command {}

  /**
   * Removes a gateway process whose lease is guaranteed to have expired, or that has stopped.
   *
   * @param node name of its node
   * @param process identifier of the process
   * @param quiet whether the process is known to have no request in progress
   */
  record GatewayDown(String node, String process, boolean quiet) implements Command {}

  /**
   * Activates the pending assignment of slots to gateways.
   *
   * @param version version of the pending assignment
   */
  record SettleShares(long version) implements Command {}
}
