package org.plantainknot.bench.cluster;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.bench.standin.TargetLocation;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.PoolState;
import org.plantainknot.core.ticket.Ticket.ServiceState;
import org.plantainknot.core.ticket.Ticket.VmState;

/**
 * Services and VMs of a site with three data centres and four VMs per rack. VMs are assigned
 * round-robin to the pools.
 *
 * @param services names of the services; the pool of the last one is the spare pool
 * @param vms number of VMs
 * @param minAvailableVms budget of each service except the last, whose budget is one lower
 */
public record SiteLayout(List<String> services, int vms, int minAvailableVms) {

  /** Layout of the Howrah site. */
  public static final SiteLayout HOWRAH =
      new SiteLayout(
          List.of("gate-certificates", "licensing", "counter", "inspectorate", "office"), 35, 4);

  /** Layout of the Caroni site. */
  public static final SiteLayout CARONI =
      new SiteLayout(List.of("fitting", "sizing", "toe-box", "lathework", "back-office"), 35, 4);

  private static final int DATA_CENTERS = 3;
  private static final int VMS_PER_RACK = 4;

  /** Returns the locations of all VMs, with consecutive ports from {@code firstPort}. */
  public List<TargetLocation> targetLocations(String host, int firstPort) {
    List<TargetLocation> locations = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      int dataCenter = i % DATA_CENTERS;
      int rack = i / DATA_CENTERS / VMS_PER_RACK;
      locations.add(
          new TargetLocation(
              vmName(i), host, firstPort + i, "dc" + (dataCenter + 1), "r" + (rack + 1)));
    }
    return locations;
  }

  /** Returns the ticket that creates pools and services and assigns all VMs to their pools. */
  public Ticket initialTicket(long number) {
    List<PoolState> pools = services.stream().map(s -> new PoolState(poolOf(s))).toList();
    List<ServiceState> states =
        services.stream()
            .map(s -> new ServiceState(s, poolOf(s), budgetOf(s), FailureDomain.RACK, null))
            .toList();
    List<VmState> vmStates = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      vmStates.add(new VmState(vmName(i), poolOf(services.get(i % services.size()))));
    }
    return new Ticket(
        number, Ticket.ON_APPROVAL, "initial state", pools, states, vmStates, List.of());
  }

  /** Returns the budget of a service, which is one lower for the service of the spare pool. */
  public int budgetOf(String service) {
    boolean spare = service.equals(services.get(services.size() - 1));
    return spare ? minAvailableVms - 1 : minAvailableVms;
  }

  /** Returns the name of a service's pool. */
  public static String poolOf(String service) {
    return service + "-pool";
  }

  /** Returns the name of the VM with a zero-based index. */
  public static String vmName(int index) {
    return String.format("vm%02d", index + 1);
  }
}
