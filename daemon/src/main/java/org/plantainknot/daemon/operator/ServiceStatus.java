package org.plantainknot.daemon.operator;

import org.plantainknot.core.fleet.Budgets;
import org.plantainknot.core.fleet.Fleet;
import org.plantainknot.core.fleet.Service;

/**
 * State of a service, for operators.
 *
 * @param service name of the service
 * @param pool pool that serves it
 * @param availableVms VMs that can be given work
 * @param minAvailableVms VMs that must stay available
 * @param ticket ticket that holds the service
 */
public record ServiceStatus(
    String service, String pool, long availableVms, int minAvailableVms, long ticket) {

  static ServiceStatus of(Fleet fleet, Service service) {
    return new ServiceStatus(
        service.name(),
        service.pool(),
        Budgets.available(fleet, service),
        service.minAvailableVms(),
        service.ticket());
  }
}
