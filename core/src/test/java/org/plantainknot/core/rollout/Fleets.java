package org.plantainknot.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.plantainknot.core.claim.ClaimLimits;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.fleet.Announcement;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.lease.LeaseRequest;
import org.plantainknot.core.ticket.Decision;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.PoolState;
import org.plantainknot.core.ticket.Ticket.ServiceState;
import org.plantainknot.core.ticket.Ticket.VmState;

/** Builds small fleets, and applies commands to their state as log entries. */
public final class Fleets {

  private final ControlState state = new ControlState(ClaimLimits.DEFAULT);
  private long index;

  /** Returns the replicated state. */
  public ControlState state() {
    return state;
  }

  /** Applies a command as the next log entry, with the given timestamp. */
  public Result apply(Command command, long nowMillis) {
    index++;
    return state.apply(index, nowMillis, "command-" + index, command);
  }

  /** Files, approves and starts a ticket, and marks it as in force. */
  public void putInForce(Ticket ticket) {
    apply(new Command.FileTicket(ticket, "test"), 0).orThrow();
    apply(new Command.DecideTicket(ticket.number(), Decision.APPROVE, "test"), 0).orThrow();
    apply(new Command.StartTicket(ticket.number()), 0).orThrow();
    apply(new Command.MarkInForce(ticket.number()), 0).orThrow();
  }

  /**
   * Sets up services "s0", "s1", ..., each with a pool "p0", "p1", ..., and spreads VMs over them.
   */
  public void setUpSite(int pools, int vms, int minAvailable, FailureDomain spare) {
    putInForce(ticket(1, pools, vms, minAvailable, spare));
    for (int i = 0; i < vms; i++) {
      announce(i, "first");
    }
  }

  /** Returns the ticket that describes a site. */
  public static Ticket ticket(
      long number, int pools, int vms, int minAvailable, FailureDomain spare) {
    List<PoolState> poolStates = new ArrayList<>();
    List<ServiceState> services = new ArrayList<>();
    List<VmState> vmStates = new ArrayList<>();
    for (int p = 0; p < pools; p++) {
      poolStates.add(new PoolState("p" + p));
      services.add(new ServiceState("s" + p, "p" + p, minAvailable, spare, null));
    }
    for (int i = 0; i < vms; i++) {
      vmStates.add(new VmState(vm(i), "p" + i % pools));
    }
    return new Ticket(
        number, Ticket.ON_APPROVAL, "site", poolStates, services, vmStates, List.of());
  }

  /** Applies the announcement of a VM. */
  public void announce(int vm, String instance) {
    apply(new Command.Announce(vm(vm), announcement(vm, instance)), 0);
  }

  /** Returns the announcement of a VM; VMs are spread over three data centres, four to a rack. */
  public static Announcement announcement(int vm, String instance) {
    return new Announcement(
        vm(vm) + instance, "127.0.0.1", 9_000 + vm, "dc" + vm % 3, "r" + vm / 12, 8, 64);
  }

  /** Returns the name of a VM. */
  public static String vm(int index) {
    return String.format("vm%04d", index);
  }

  /** Returns a lease request of a gateway that has applied the whole log and uses no VM. */
  public LeaseRequest request(String node, long sequence) {
    return new LeaseRequest(
        node,
        node + "-process",
        sequence,
        state.appliedIndex(),
        state.gateways().version(),
        Set.of(),
        false);
  }
}
