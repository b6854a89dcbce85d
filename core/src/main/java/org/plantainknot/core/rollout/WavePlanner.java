package org.plantainknot.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.plantainknot.core.fleet.Budgets;
import org.plantainknot.core.fleet.Fleet;
import org.plantainknot.core.fleet.Service;
import org.plantainknot.core.fleet.Vm;

/**
 * Chooses the VMs that leave their pools next.
 *
 * <p>As many VMs leave at a time as the availability budgets allow. Candidates in the same failure
 * domain leave together, because each further domain with missing VMs uses up more of the budget;
 * within a domain, VMs with less work leave first.
 */
public final class WavePlanner {

  private final Fleet fleet;
  private final ToIntFunction<Vm> workload;

  /**
   * Creates a planner.
   *
   * @param fleet VMs, pools and services
   * @param workload amount of work on a VM that would have to be finished or moved
   */
  public WavePlanner(Fleet fleet, ToIntFunction<Vm> workload) {
    this.fleet = fleet;
    this.workload = workload;
  }

  /** Returns the names of the VMs that can leave now without violating any budget. */
  public List<String> next() {
    Set<String> changingPools =
        fleet.vms().stream()
            .filter(Vm::isChangePending)
            .map(Vm::pool)
            .collect(Collectors.toCollection(TreeSet::new));
    if (changingPools.isEmpty()) {
      return List.of();
    }
    Map<String, List<Vm>> membersByPool =
        fleet.vms().stream()
            .filter(vm -> vm.pool() != null && changingPools.contains(vm.pool()))
            .collect(Collectors.groupingBy(Vm::pool));
    List<String> leaving = new ArrayList<>();
    changingPools.forEach(pool -> planPool(pool, membersByPool.get(pool), leaving));
    return leaving;
  }

  private void planPool(String pool, List<Vm> members, List<String> leaving) {
    List<Vm> available = new ArrayList<>(members.stream().filter(Vm::isAvailable).toList());
    List<Vm> candidates =
        new ArrayList<>(
            members.stream()
                .filter(Vm::isChangePending)
                .filter(m -> m.phase().isServing())
                .toList());
    candidates.sort(byDomainThenWorkload());
    List<Service> services = fleet.servicesOf(pool);
    for (Vm candidate : candidates) {
      List<Vm> remaining = available.stream().filter(vm -> vm != candidate).toList();
      if (services.stream().allMatch(service -> Budgets.isMet(service, remaining))) {
        available.remove(candidate);
        leaving.add(candidate.name());
      }
    }
  }

  private Comparator<Vm> byDomainThenWorkload() {
    return Comparator.comparing(WavePlanner::domainOf)
        .thenComparingInt(workload)
        .thenComparing(Vm::name);
  }

  private static String domainOf(Vm vm) {
    return vm.announcement() == null
        ? ""
        : vm.announcement().dataCenter() + "/" + vm.announcement().rack();
  }
}
