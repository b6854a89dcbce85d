package org.plantainknot.core.ticket;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.plantainknot.core.error.Finding;
import org.plantainknot.core.error.Findings;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.fleet.Fleet;
import org.plantainknot.core.fleet.Pool;
import org.plantainknot.core.fleet.Service;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.ticket.Ticket.ServiceState;
import org.plantainknot.core.ticket.Ticket.VmState;

/** Validates a ticket on its own and against the fleet. */
public final class TicketChecks {

  /** Maximum number of items of one kind in a ticket. */
  public static final int MAX_ITEMS = 5_000;

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");

  private final Ticket ticket;
  private final Fleet fleet;
  private final Findings findings = new Findings();

  private TicketChecks(Ticket ticket, Fleet fleet) {
    this.ticket = ticket;
    this.fleet = fleet;
  }

  /** Returns all findings on a ticket that is filed at the given time. */
  public static List<Finding> check(Ticket ticket, Fleet fleet, long nowMillis) {
    TicketChecks checks = new TicketChecks(ticket, fleet);
    checks.checkHeader(nowMillis);
    checks.checkPools();
    checks.checkServices();
    checks.checkVms();
    checks.checkWaves();
    checks.checkBudgets();
    return checks.findings.asList();
  }

  private void checkHeader(long nowMillis) {
    findings.require(ticket.number() > 0, "number", "must be 1 or more");
    findings.require(
        ticket.startMillis() == Ticket.ON_APPROVAL || ticket.startMillis() >= nowMillis,
        "start",
        "lies " + (nowMillis - ticket.startMillis()) + " ms in the past");
    findings.require(!ticket.touched().isEmpty(), "ticket", "touches nothing");
    checkSize("pools", ticket.pools());
    checkSize("services", ticket.services());
    checkSize("vms", ticket.vms());
    checkSize("waves", ticket.waves());
  }

  private void checkSize(String place, Collection<?> items) {
    findings.require(items.size() <= MAX_ITEMS, place, "has more than " + MAX_ITEMS + " items");
  }

  private void checkPools() {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < ticket.pools().size(); i++) {
      checkName("pools[" + i + "].name", ticket.pools().get(i).name(), seen);
    }
  }

  private void checkServices() {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < ticket.services().size(); i++) {
      ServiceState service = ticket.services().get(i);
      String place = "services[" + i + "]";
      checkName(place + ".name", service.name(), seen);
      checkPool(place + ".pool", service.pool());
      findings.require(
          service.minAvailableVms() >= 0, place + ".minAvailableVms", "must be 0 or more");
      for (String method : service.idempotentMethods()) {
        findings.require(
            METHOD.matcher(method).matches(),
            place + ".idempotentMethods",
            "'" + method + "' is not an HTTP method in capitals");
      }
    }
  }

  private void checkVms() {
    Map<String, String> poolByVm = new TreeMap<>();
    for (int i = 0; i < ticket.vms().size(); i++) {
      VmState vm = ticket.vms().get(i);
      String place = "vms[" + i + "]";
      checkName(place + ".name", vm.name(), new HashSet<>());
      checkPool(place + ".pool", vm.pool());
      String otherPool =
          vm.name() == null ? null : poolByVm.put(vm.name(), String.valueOf(vm.pool()));
      findings.require(
          otherPool == null,
          place + ".pool",
          "VM " + vm.name() + " is already put into pool " + otherPool);
    }
  }

  private void checkWaves() {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < ticket.waves().size(); i++) {
      String pool = ticket.waves().get(i).pool();
      checkPool("waves[" + i + "].pool", pool);
      findings.require(seen.add(pool), "waves[" + i + "].pool", "pool " + pool + " stands twice");
    }
  }

  /**
   * Requires one VM more in a pool than its services' budgets need, since otherwise no VM could
   * ever be taken out for maintenance.
   */
  private void checkBudgets() {
    Map<String, Integer> sizeByPool = desiredPoolSizes();
    Set<String> touchedPools =
        ticket.vms().stream().map(VmState::pool).collect(Collectors.toCollection(TreeSet::new));
    Set<String> definedServices =
        ticket.services().stream().map(ServiceState::name).collect(Collectors.toSet());
    for (int i = 0; i < ticket.services().size(); i++) {
      ServiceState s = ticket.services().get(i);
      checkBudget(
          "services[" + i + "].minAvailableVms",
          s.pool(),
          s.minAvailableVms(),
          s.spare(),
          sizeByPool);
    }
    for (Service s : fleet.services()) {
      if (!definedServices.contains(s.name())
          && (touchedPools.contains(s.pool()) || losesVm(s.pool()))) {
        checkBudget("vms", s.pool(), s.minAvailableVms(), s.spare(), sizeByPool);
      }
    }
  }

  private void checkBudget(
      String place,
      String pool,
      int minAvailableVms,
      FailureDomain spare,
      Map<String, Integer> sizeByPool) {
    int size = pool == null ? 0 : sizeByPool.getOrDefault(pool, 0);
    int needed = minAvailableVms + spare.minLoss() + 1;
    findings.require(
        size >= needed || minAvailableVms == 0,
        place,
        "pool "
            + pool
            + " would have "
            + size
            + " VMs; the budget with its spare, and one VM to maintain, need "
            + needed);
  }

  private boolean losesVm(String pool) {
    return ticket.vms().stream()
        .map(VmState::name)
        .filter(name -> name != null)
        .flatMap(name -> fleet.vm(name).stream())
        .anyMatch(vm -> pool.equals(vm.desiredPool()));
  }

  private Map<String, Integer> desiredPoolSizes() {
    Map<String, String> poolByVm = new TreeMap<>();
    fleet.vms().stream()
        .filter(vm -> vm.desiredPool() != null)
        .forEach(vm -> poolByVm.put(vm.name(), vm.desiredPool()));
    ticket.vms().stream()
        .filter(vm -> vm.name() != null && vm.pool() != null)
        .forEach(vm -> poolByVm.put(vm.name(), vm.pool()));
    Map<String, Integer> sizes = new TreeMap<>();
    poolByVm.values().forEach(pool -> sizes.merge(pool, 1, Integer::sum));
    return Collections.unmodifiableMap(sizes);
  }

  private void checkName(String place, String name, Set<String> seen) {
    if (name == null || !NAME.matcher(name).matches()) {
      findings.add(place, "must be letters, digits, dots, dashes or underscores, at most 63");
    } else if (!seen.add(name)) {
      findings.add(place, name + " stands twice");
    }
  }

  private void checkPool(String place, String pool) {
    boolean defined =
        pool != null
            && (ticket.pools().stream().anyMatch(p -> pool.equals(p.name()))
                || fleet.pool(pool).map(Pool::name).isPresent());
    findings.require(defined, place, "pool " + pool + " is neither known nor in this ticket");
  }

  /** Returns whether the VM is serving with no change pending, or a later ticket assigns it. */
  static boolean isSatisfied(Ticket ticket, Vm vm) {
    boolean superseded = vm.ticket() > ticket.number();
    return superseded || (!vm.isChangePending() && vm.phase().isServing());
  }
}
