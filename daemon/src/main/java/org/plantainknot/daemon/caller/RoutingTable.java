package org.plantainknot.daemon.caller;

import java.util.Map;
import org.plantainknot.core.fleet.Service;

/**
 * Services that a gateway accepts requests for.
 *
 * @param services services by name
 */
record RoutingTable(Map<String, Service> services) {

  static final RoutingTable EMPTY = new RoutingTable(Map.of());

  RoutingTable {
    services = Map.copyOf(services);
  }
}
