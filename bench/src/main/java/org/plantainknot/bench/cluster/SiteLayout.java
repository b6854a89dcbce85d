package org.plantainknot.bench.cluster;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.bench.standin.TargetPlace;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.PoolState;
import org.plantainknot.core.ticket.Ticket.ServiceState;
import org.plantainknot.core.ticket.Ticket.VmState;

/**
 * Services and VMs of a site: three data centres, racks of four, and the VMs dealt round the pools.
 *
 * @param services names of the services, of which the last one's pool is the spare
 * @param vms number of VMs
 * @param minAvailableVms budget of each service
 */
public record SiteLayout(List<String> services, int vms, int minAvailableVms) {

  /** Howrah's site. */
  public static final SiteLayout HOWRAH =
      new SiteLayout(
          List.of("gate-certificates", "licensing", "counter", "inspectorate", "office"), 35, 4);

  /** Caroni's site. */
  public static final SiteLayout CARONI =
      new SiteLayout(List.of("fitting", "sizing", "toe-box", "lathework", "back-office"), 35, 4);

  private static final int DATA_CENTERS = 3;
  private static final int VMS_PER_RACK = 4;

  /** Returns the places of all VMs, with ports from the given one on. */
  public List<TargetPlace> places(String host, int firstPort) {
    List<TargetPlace> places = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      int dataCenter = i % DATA_CENTERS;
      int rack = i / DATA_CENTERS / VMS_PER_RACK;
      places.add(
          new TargetPlace(
              vmName(i), host, firstPort + i, "dc" + (dataCenter + 1), "r" + (rack + 1)));
    }
    return places;
  }

  /** Returns the ticket that puts all VMs into their pools. */
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

  /** Returns the budget of a service; that of the spare pool is one lower. */
  public int budgetOf(String service) {
    boolean spare = service.equals(services.get(services.size() - 1));
    return spare ? minAvailableVms - 1 : minAvailableVms;
  }

  /** Returns the name of a service's pool. */
  public static String poolOf(String service) {
    return service + "-pool";
  }

  /** Returns the name of the VM with the index. */
  public static String vmName(int index) {
    return String.format("vm%02d", index + 1);
  }
}
