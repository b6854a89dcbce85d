package org.plantainknot.daemon.operator;

import org.plantainknot.core.fleet.Budgets;
import org.plantainknot.core.fleet.Fleet;
import org.plantainknot.core.fleet.Service;

/**
 * Status of a service, as shown to operators.
 *
 * @param service name of the service
 * @param pool pool whose VMs run the service
 * @param availableVms number of VMs that can take requests
 * @param minAvailableVms number of VMs that must stay available
 * @param ticket number of the ticket that last defined the service
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
