package org.plantainknot.core.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.plantainknot.core.job.JobCommand.OrderMachine;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.MachineOrder;

/**
 * Machine orders of one leader's term that are recorded in the ledger, or proposed to the log and
 * not applied yet. Not thread-safe.
 */
final class OpenMachineOrders {

  private final JobLedger ledger;
  private final Dispatcher dispatcher;
  private final Map<String, MachineOrder> proposedByMachine = new HashMap<>();

  OpenMachineOrders(JobLedger ledger, Dispatcher dispatcher) {
    this.ledger = ledger;
    this.dispatcher = dispatcher;
  }

  /** Proposes an order unless one for the same machine is open. */
  void propose(MachineOrder order) {
    if (!isOpen(order.machine())) {
      proposedByMachine.put(order.machine(), order);
      dispatcher.propose(new OrderMachine(order));
    }
  }

  /** Handles that a proposed order was applied; returns whether the ledger recorded it. */
  boolean applied(MachineOrder order) {
    proposedByMachine.remove(order.machine());
    return ledger.orders().contains(order);
  }

  /** Returns the orders that the ledger has recorded, which may be sent. */
  Collection<MachineOrder> recorded() {
    return ledger.orders();
  }

  /** Returns the machines with an open order. */
  Set<String> machines() {
    Set<String> machines = new HashSet<>(proposedByMachine.keySet());
    ledger.orders().forEach(order -> machines.add(order.machine()));
    return machines;
  }

  /** Returns the number of open orders that move a machine to a pool. */
  long countTo(String pool) {
    return countTo(pool, proposedByMachine.values()) + countTo(pool, ledger.orders());
  }

  private boolean isOpen(String machine) {
    return proposedByMachine.containsKey(machine)
        || ledger.orders().stream().anyMatch(order -> order.machine().equals(machine));
  }

  private static long countTo(String pool, Collection<MachineOrder> orders) {
    return orders.stream().filter(order -> order.pool().equals(pool)).count();
  }
}
