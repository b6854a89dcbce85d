package org.plantainknot.daemon.dump;

import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.fleet.Pool;
import org.plantainknot.core.fleet.Service;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.routing.PoolView;
import org.plantainknot.core.share.GatewayTable;
import org.plantainknot.core.ticket.TicketEntry;
import org.plantainknot.daemon.control.ControlView;

/**
 * Complete state of a process, except for the bodies of stored answers.
 *
 * @param control state of the replicated log, the lease and the links to other members
 * @param clockMillis time of the replicated log's clock
 * @param tickets all tickets
 * @param vms all VMs
 * @param pools all pools
 * @param services all services
 * @param gateways gateways and their shares of the targets' slots
 * @param claims number of claims of non-idempotent requests
 * @param storedAnswerBytes total size of the stored answers in bytes
 * @param queues queue and targets of each pool at this gateway, by pool name
 */
public record DumpBody(
    ControlView control,
    long clockMillis,
    Collection<TicketEntry> tickets,
    Collection<Vm> vms,
    Collection<Pool> pools,
    Collection<Service> services,
    GatewayTable.Image gateways,
    int claims,
    long storedAnswerBytes,
    SortedMap<String, PoolView> queues) {

  /** Creates a dump from the views of this process and the replicated state. */
  public static DumpBody of(
      ControlView control, ControlState state, SortedMap<String, PoolView> queues) {
    return new DumpBody(
        control,
        state.clockMillis(),
        List.copyOf(state.tickets().entries()),
        List.copyOf(state.fleet().vms()),
        List.copyOf(state.fleet().pools()),
        List.copyOf(state.fleet().services()),
        state.gateways().image(),
        state.claims().size(),
        state.claims().storedBytes(),
        queues);
  }
}
