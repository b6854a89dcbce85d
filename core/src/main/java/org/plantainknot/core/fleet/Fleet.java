package org.plantainknot.core.fleet;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** All VMs, pools and services, indexed by name. */
public final class Fleet {

  /**
   * Copy of a fleet, for snapshots.
   *
   * @param vms all VMs
   * @param pools all pools
   * @param services all services
   * @param nextOrdinal ordinal of the next VM
   */
  public record Image(List<Vm> vms, List<Pool> pools, List<Service> services, long nextOrdinal) {}

  private final SortedMap<String, Vm> vms = new TreeMap<>();
  private final SortedMap<String, Pool> pools = new TreeMap<>();
  private final SortedMap<String, Service> services = new TreeMap<>();
  private long nextOrdinal;

  /** Returns all VMs, sorted by name. */
  public Collection<Vm> vms() {
    return Collections.unmodifiableCollection(vms.values());
  }

  /** Returns all pools, sorted by name. */
  public Collection<Pool> pools() {
    return Collections.unmodifiableCollection(pools.values());
  }

  /** Returns all services, sorted by name. */
  public Collection<Service> services() {
    return Collections.unmodifiableCollection(services.values());
  }

  /** Returns the VM, if it is known. */
  public Optional<Vm> vm(String name) {
    return Optional.ofNullable(vms.get(name));
  }

  /** Returns the pool, if it is known. */
  public Optional<Pool> pool(String name) {
    return Optional.ofNullable(pools.get(name));
  }

  /** Returns the service, if it is known. */
  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the VM, creating an unassigned one with the next ordinal if it is not known. */
  public Vm getOrCreateVm(String name) {
    return vms.computeIfAbsent(name, n -> Vm.unnamed(n, nextOrdinal++));
  }

  /** Adds or replaces a VM. */
  public void put(Vm vm) {
    vms.put(vm.name(), vm);
  }

  /** Adds or replaces a pool. */
  public void put(Pool pool) {
    pools.put(pool.name(), pool);
  }

  /** Adds or replaces a service. */
  public void put(Service service) {
    services.put(service.name(), service);
  }

  /** Returns the VMs that belong to a pool. */
  public List<Vm> vmsIn(String pool) {
    return vms.values().stream().filter(vm -> pool.equals(vm.pool())).toList();
  }

  /** Returns the services that a pool serves. */
  public List<Service> servicesOf(String pool) {
    return services.values().stream().filter(s -> s.pool().equals(pool)).toList();
  }

  /** Returns a copy for a snapshot. */
  public Image image() {
    return new Image(
        List.copyOf(vms.values()),
        List.copyOf(pools.values()),
        List.copyOf(services.values()),
        nextOrdinal);
  }

  /** Replaces the content with that of a snapshot. */
  public void restore(Image image) {
    vms.clear();
    pools.clear();
    services.clear();
    image.vms().forEach(this::put);
    image.pools().forEach(this::put);
    image.services().forEach(this::put);
    nextOrdinal = image.nextOrdinal();
  }
}
