package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import org.plantainknot.core.job.JobCommand.OrderMachine;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.MachineOrder;
import org.plantainknot.core.job.ServiceConfig;

/**
 * Moves machines to the pools whose work doesn't fit.
 *
 * <p>Answers a load in which each queue in turn asks several times what its pool holds, for
 * seconds, while the other pools are nearly idle. Only machines on which nothing runs are moved,
 * those of the largest pools first and the spare ones last. Pools without urgent work that waits
 * give theirs away, and get machines ready for it that run short work only; late work holds no
 * machine back. A machine that stays empty goes back to the spare pool.
 */
final class PoolBalancer {

  private static final long INTERVAL_MILLIS = 100;

  /** Time after which an empty machine is parked; a pool's turn comes back sooner. */
  private static final long IDLE_MILLIS = 60_000;

  /** Part of a machine's processors that must wait before a machine is moved. */
  private static final double LEAST_PART = 0.5;

  /** Machines that a pool keeps in any case. */
  private static final int KEPT_MACHINES = 2;

  private final JobLedger ledger;
  private final WorkerDirectory directory;
  private final Dispatcher dispatcher;
  private final Planner planner;
  private final MachineTable machines;
  private final ArrivingMachines arriving;
  private final Map<String, Long> emptySinceMillis = new HashMap<>();
  private final Set<String> leaving = new HashSet<>();
  private final Set<String> taken = new HashSet<>();
  private final Map<String, Integer> staying = new HashMap<>();
  private long atMillis;

  PoolBalancer(
      JobLedger ledger,
      WorkerDirectory directory,
      Dispatcher dispatcher,
      Planner planner,
      MachineTable machines) {
    this.ledger = ledger;
    this.directory = directory;
    this.dispatcher = dispatcher;
    this.planner = planner;
    this.machines = machines;
    this.arriving = new ArrivingMachines(directory);
  }

  /** Returns the workers that get no more work because their machines are about to move. */
  Set<String> leavingWorkers() {
    Set<String> workers = new HashSet<>(leaving);
    Set<String> ordered =
        ledger.orders().stream().map(MachineOrder::machine).collect(Collectors.toSet());
    for (WorkerHeartbeat worker : directory.all()) {
      if (ordered.contains(worker.machine())) {
        workers.add(worker.life().worker());
      }
    }
    return workers;
  }

  /** Notes that an order for a machine is settled. */
  void settled(MachineOrder order, boolean carriedOut, long nowMillis) {
    if (order.isMove() && carriedOut) {
      arriving.moved(order.machine(), order.pool(), nowMillis);
      machines.moved(order.machine(), order.pool());
    }
  }

  /** Returns whether moves need a list of machines now. */
  boolean needsMachines() {
    return !planner.shortages().isEmpty() || !machines.isKnown();
  }

  /**
   * Moves machines where it helps.
   *
   * @param blocked machines that must stay, for example because a wave wants them
   */
  void tick(Set<String> blocked, long nowMillis) {
    if (nowMillis - atMillis < INTERVAL_MILLIS || !machines.isKnown()) {
      return;
    }
    atMillis = nowMillis;
    arriving.forgetArrived(worker -> dispatcher.isUsable(worker, nowMillis), nowMillis);
    leaving.clear();
    taken.clear();
    countStaying();
    Map<String, Shortage> shortages = planner.shortages();
    List<MovableMachine> candidates = candidates(blocked, nowMillis);
    List<MovableMachine> empty = empty(candidates, nowMillis);
    List<MovableMachine> busy =
        candidates.stream()
            .filter(MovableMachine::isShortlyEmpty)
            .sorted(Comparator.comparingInt(MovableMachine::runs))
            .collect(Collectors.toCollection(ArrayList::new));
    for (String pool : byNeed(shortages, Shortage::urgentMilliCores)) {
      Predicate<String> donors = donor -> !isUrgent(donor, shortages);
      long needed = shortages.get(pool).urgentMilliCores();
      double open = supply(pool, needed, givenAway(empty, donors));
      vacate(open, givenAway(busy, donors));
    }
    Predicate<String> unneeded = donor -> !shortages.containsKey(donor);
    for (String pool : byNeed(shortages, Shortage::lateMilliCores)) {
      supply(pool, shortages.get(pool).milliCores(), givenAway(empty, unneeded));
    }
    park(givenAway(empty, unneeded), nowMillis);
  }

  private static boolean isUrgent(String pool, Map<String, Shortage> shortages) {
    return shortages.getOrDefault(pool, Shortage.NONE).isUrgent();
  }

  private static List<String> byNeed(
      Map<String, Shortage> shortages, ToLongFunction<Shortage> need) {
    return shortages.entrySet().stream()
        .filter(e -> need.applyAsLong(e.getValue()) > 0)
        .sorted(
            Comparator.comparingLong(
                (Map.Entry<String, Shortage> e) -> -need.applyAsLong(e.getValue())))
        .map(Map.Entry::getKey)
        .toList();
  }

  private static List<MovableMachine> givenAway(
      List<MovableMachine> machines, Predicate<String> donors) {
    return machines.stream()
        .filter(machine -> machine.spare() || donors.test(machine.pool()))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private List<MovableMachine> candidates(Set<String> blocked, long nowMillis) {
    Set<String> sparePools = sparePools();
    Set<String> fixed = new HashSet<>(blocked);
    fixed.addAll(arriving.names());
    ledger.orders().forEach(order -> fixed.add(order.machine()));
    List<MovableMachine> candidates = new ArrayList<>();
    for (Machine machine : machines.all()) {
      boolean movable =
          !fixed.contains(machine.name()) && machine.state() != MachineState.MAINTENANCE;
      if (movable && sparePools.contains(machine.pool())) {
        candidates.add(MovableMachine.switchedOff(machine));
      }
    }
    for (WorkerHeartbeat worker : directory.all()) {
      boolean movable =
          !worker.machine().isEmpty()
              && !fixed.contains(worker.machine())
              && !sparePools.contains(worker.service());
      if (movable && dispatcher.isUsable(worker, nowMillis)) {
        candidates.add(candidate(worker));
      }
    }
    return candidates;
  }

  private MovableMachine candidate(WorkerHeartbeat worker) {
    List<TrackedRun> runs = dispatcher.runsOn(worker.life());
    boolean persistent = runs.stream().anyMatch(run -> run.task().step().persistent());
    int count = Math.max(runs.size(), planner.isEmpty(worker) ? 0 : 1);
    return new MovableMachine(worker.machine(), worker.service(), false, worker, count, persistent);
  }

  /** Returns the empty machines in the order of use, and notes since when they are empty. */
  private List<MovableMachine> empty(List<MovableMachine> candidates, long nowMillis) {
    List<MovableMachine> empty =
        candidates.stream()
            .filter(MovableMachine::isEmpty)
            .sorted(
                Comparator.comparing(MovableMachine::spare)
                    .thenComparing(machine -> -remaining(machine.pool())))
            .collect(Collectors.toCollection(ArrayList::new));
    emptySinceMillis
        .keySet()
        .retainAll(empty.stream().map(MovableMachine::machine).collect(Collectors.toSet()));
    empty.forEach(machine -> emptySinceMillis.putIfAbsent(machine.machine(), nowMillis));
    return empty;
  }

  /** Moves machines to a pool, and returns the processors that it still lacks. */
  private double supply(String pool, long waitingMilliCores, List<MovableMachine> candidates) {
    double open = waitingMilliCores;
    double each = machineMilliCores();
    open -= arriving(pool) * each;
    while (open > LEAST_PART * each) {
      MovableMachine next = take(candidates);
      if (next == null) {
        return open;
      }
      order(next, pool);
      open -= each;
    }
    return open;
  }

  /** Keeps new work from machines that will be empty soon, so that they can be moved then. */
  private void vacate(double waitingMilliCores, List<MovableMachine> busy) {
    double open = waitingMilliCores;
    double each = machineMilliCores();
    while (open > LEAST_PART * each && take(busy) != null) {
      open -= each;
    }
  }

  /** Takes the first machine that no pool has taken yet and that its pool can spare, or null. */
  private MovableMachine take(List<MovableMachine> candidates) {
    for (MovableMachine candidate : candidates) {
      boolean enoughLeft = candidate.spare() || remaining(candidate.pool()) > KEPT_MACHINES;
      if (enoughLeft && taken.add(candidate.machine())) {
        if (candidate.worker() != null) {
          leaving.add(candidate.worker().life().worker());
          staying.merge(candidate.pool(), -1, Integer::sum);
        }
        return candidate;
      }
    }
    return null;
  }

  private void countStaying() {
    staying.clear();
    for (WorkerHeartbeat worker : directory.all()) {
      if (worker.phase() == WorkerPhase.READY) {
        staying.merge(worker.service(), 1, Integer::sum);
      }
    }
  }

  /** Returns the workers of a pool that take work and are not about to leave. */
  private int remaining(String pool) {
    return staying.getOrDefault(pool, 0);
  }

  private long arriving(String pool) {
    long ordered = ledger.orders().stream().filter(order -> order.pool().equals(pool)).count();
    return arriving.countTo(pool) + ordered;
  }

  private void park(List<MovableMachine> empty, long nowMillis) {
    String spare = sparePools().stream().findFirst().orElse(null);
    if (spare == null) {
      return;
    }
    List<MovableMachine> idle =
        empty.stream()
            .filter(machine -> !machine.spare())
            .filter(m -> nowMillis - emptySinceMillis.get(m.machine()) >= IDLE_MILLIS)
            .collect(Collectors.toCollection(ArrayList::new));
    for (MovableMachine next = take(idle); next != null; next = take(idle)) {
      order(next, spare);
    }
  }

  private void order(MovableMachine candidate, String pool) {
    dispatcher.propose(new OrderMachine(new MachineOrder(candidate.machine(), 0, pool)));
  }

  private Set<String> sparePools() {
    return ledger.config().services().stream()
        .filter(ServiceConfig::spare)
        .map(ServiceConfig::name)
        .collect(Collectors.toSet());
  }

  private double machineMilliCores() {
    return directory.all().stream()
        .mapToLong(worker -> worker.capacity().milliCores())
        .average()
        .orElse(1);
  }
}
