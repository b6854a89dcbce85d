package org.plantainknot.core.ticket;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.fleet.Service;

/**
 * A change ticket: the complete desired state of the VMs, pools and services that it touches.
 *
 * @param number number assigned by the operators
 * @param startMillis start time in milliseconds since the Unix epoch, or {@link #ON_APPROVAL}
 * @param note free-text description
 * @param pools pools that it defines
 * @param services services that it defines
 * @param vms VMs that it assigns to pools
 * @param waves maintenance waves that it orders
 */
public record Ticket(
    long number,
    long startMillis,
    String note,
    List<PoolState> pools,
    List<ServiceState> services,
    List<VmState> vms,
    List<Wave> waves) {

  /** Start time that makes a ticket start as soon as it is approved. */
  public static final long ON_APPROVAL = 0;

  /** Makes defensive copies of the lists, with defaults for components that were left out. */
  public Ticket {
    note = note == null ? "" : note;
    pools = pools == null ? List.of() : List.copyOf(pools);
    services = services == null ? List.of() : List.copyOf(services);
    vms = vms == null ? List.of() : List.copyOf(vms);
    waves = waves == null ? List.of() : List.copyOf(waves);
  }

  /**
   * Desired state of a pool.
   *
   * @param name name of the pool
   */
  public record PoolState(String name) {}

  /**
   * Desired state of a service.
   *
   * @param name name of the service
   * @param pool pool that serves it
   * @param minAvailableVms number of VMs that must stay available
   * @param spare failure domain whose loss, in addition, must not violate the budget; a rack if
   *     left out
   * @param idempotentMethods HTTP methods whose requests may be retried; those of RFC 9110 if left
   *     out
   */
  public record ServiceState(
      String name,
      String pool,
      int minAvailableVms,
      FailureDomain spare,
      List<String> idempotentMethods) {

    /** Sets defaults for components that were left out. */
    public ServiceState {
      spare = spare == null ? FailureDomain.RACK : spare;
      idempotentMethods =
          idempotentMethods == null ? Service.IDEMPOTENT_METHODS : List.copyOf(idempotentMethods);
    }
  }

  /**
   * Desired state of a VM.
   *
   * @param name name of the VM
   * @param pool pool that it is assigned to
   */
  public record VmState(String name, String pool) {}

  /**
   * Maintenance wave: each VM of the pool is rebooted once.
   *
   * @param pool pool whose VMs are rebooted
   */
  public record Wave(String pool) {}

  /** Returns the items that the ticket touches, each as its kind and name. */
  public List<String> touched() {
    List<String> touched = new ArrayList<>();
    pools.forEach(p -> touched.add("pool " + p.name()));
    services.forEach(s -> touched.add("service " + s.name()));
    vms.forEach(v -> touched.add("VM " + v.name()));
    waves.forEach(w -> touched.add("wave " + w.pool()));
    return touched;
  }
}
