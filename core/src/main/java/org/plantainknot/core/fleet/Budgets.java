package org.plantainknot.core.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** Checks which VMs can be taken out of service without violating an availability budget. */
public final class Budgets {

  private Budgets() {}

  /** Returns a service whose budget would be violated if the VM left its pool, if there is one. */
  public static Optional<Service> findViolatedBudget(Fleet fleet, Vm leaving) {
    List<Vm> remaining =
        fleet.vmsIn(leaving.pool()).stream()
            .filter(Vm::isAvailable)
            .filter(vm -> !vm.name().equals(leaving.name()))
            .toList();
    return fleet.servicesOf(leaving.pool()).stream()
        .filter(service -> !isMet(service, remaining))
        .findFirst();
  }

  /**
   * Returns whether the available VMs meet the service's budget even after the loss of its largest
   * spare domain.
   */
  public static boolean isMet(Service service, Collection<Vm> available) {
    List<Announcement> announcements = available.stream().map(Vm::announcement).toList();
    return available.size() - service.spare().largestDomainSize(announcements)
        >= service.minAvailableVms();
  }

  /** Returns the number of VMs available to a service. */
  public static long available(Fleet fleet, Service service) {
    return fleet.vmsIn(service.pool()).stream().filter(Vm::isAvailable).count();
  }
}
