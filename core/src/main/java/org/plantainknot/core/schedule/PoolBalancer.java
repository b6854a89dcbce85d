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
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.MachineOrder;
import org.plantainknot.core.job.ServiceConfig;

/**
 * Moves machines to pools that lack capacity for their waiting work.
 *
 * <p>Designed for a load in which each queue in turn has a demand peak of some seconds that needs
 * several times the capacity of its pool, while the other pools are nearly idle. Only idle machines
 * are moved, those of the largest pools first and the spare ones last. Pools without urgent waiting
 * work donate their idle machines, and drain machines that run no persistent tasks so that these
 * can follow; late work does not keep a pool from donating. A machine that stays idle returns to
 * the spare pool.
 */
final class PoolBalancer {

  private static final long INTERVAL_MILLIS = 100;

  /**
   * Time after which an idle machine returns to the spare pool; longer than the interval between
   * the demand peaks of a pool.
   */
  private static final long IDLE_TIMEOUT_MILLIS = 60_000;

  /** Fraction of a machine's processors that a pool must lack before a machine is moved to it. */
  private static final double MIN_SHORTAGE_FRACTION = 0.5;

  /** Number of machines that a pool never donates. */
  private static final int MIN_MACHINES_PER_POOL = 2;

  private final JobLedger ledger;
  private final WorkerDirectory directory;
  private final Dispatcher dispatcher;
  private final Planner planner;
  private final MachineTable machines;
  private final OpenMachineOrders openOrders;
  private final ArrivingMachines arrivingMachines;
  private final RefusedMoves refusedMoves = new RefusedMoves();
  private final Map<String, Long> idleSinceMillis = new HashMap<>();
  private final Set<String> claimedWorkers = new HashSet<>();
  private final Set<String> claimedMachines = new HashSet<>();
  private final Map<String, Integer> remainingByPool = new HashMap<>();
  private long lastTickMillis;

  PoolBalancer(
      JobLedger ledger,
      WorkerDirectory directory,
      Dispatcher dispatcher,
      Planner planner,
      MachineTable machines,
      OpenMachineOrders openOrders) {
    this.ledger = ledger;
    this.directory = directory;
    this.dispatcher = dispatcher;
    this.planner = planner;
    this.machines = machines;
    this.openOrders = openOrders;
    this.arrivingMachines = new ArrivingMachines(directory);
  }

  /**
   * Returns the workers that get no new work because orders for their machines are open, or because
   * the machines are to be moved or drained for a move.
   */
  Set<String> leavingWorkers() {
    Set<String> workers = new HashSet<>(claimedWorkers);
    Set<String> ordered = openOrders.machines();
    for (WorkerHeartbeat worker : directory.all()) {
      if (ordered.contains(worker.machine())) {
        workers.add(worker.life().worker());
      }
    }
    return workers;
  }

  /**
   * Updates the machine's pool after a move was carried out; ignores other orders.
   *
   * @param order a completed order
   * @param carriedOut whether the platform carried it out
   */
  void orderCompleted(MachineOrder order, boolean carriedOut, long nowMillis) {
    if (order.isMove() && carriedOut) {
      arrivingMachines.moved(order.machine(), order.pool(), nowMillis);
      machines.moved(order.machine(), order.pool());
    }
  }

  /** Handles that the platform refused a move, as one to a pool of other machines. */
  void moveRefused(MachineOrder order, long nowMillis) {
    refusedMoves.refused(order.machine(), poolOf(order.machine()), order.pool(), nowMillis);
  }

  /** Returns the pool of a machine: as listed if it is switched off, else that of its worker. */
  private String poolOf(String name) {
    Machine listed = machines.find(name);
    if (listed != null && sparePools().contains(listed.pool())) {
      return listed.pool();
    }
    return directory.all().stream()
        .filter(worker -> worker.machine().equals(name))
        .map(WorkerHeartbeat::service)
        .findFirst()
        .orElse(listed == null ? "" : listed.pool());
  }

  /** Returns whether a current list of machines is needed to decide on moves. */
  boolean needsMachines() {
    return !planner.shortages().isEmpty() || !machines.isKnown();
  }

  /**
   * Orders moves of machines and chooses machines to drain, at most once per interval.
   *
   * @param blocked machines that must not be moved, for example because a maintenance wave is about
   *     to take them down
   */
  void tick(Set<String> blocked, long nowMillis) {
    if (nowMillis - lastTickMillis < INTERVAL_MILLIS || !machines.isKnown()) {
      return;
    }
    lastTickMillis = nowMillis;
    arrivingMachines.removeArrived(worker -> dispatcher.isUsable(worker, nowMillis), nowMillis);
    refusedMoves.removeExpired(nowMillis);
    claimedWorkers.clear();
    claimedMachines.clear();
    countRemainingWorkers();
    Map<String, Shortage> shortages = planner.shortages();
    List<MovableMachine> candidates = candidates(blocked, nowMillis);
    List<MovableMachine> idle = idleMachines(candidates, nowMillis);
    List<MovableMachine> drainable =
        candidates.stream()
            .filter(MovableMachine::isDrainable)
            .sorted(Comparator.comparingInt(MovableMachine::runs))
            .collect(Collectors.toCollection(ArrayList::new));
    for (String pool : poolsByNeed(shortages, Shortage::urgentMilliCores)) {
      Predicate<String> donors = donor -> !isUrgent(donor, shortages);
      long needed = shortages.get(pool).urgentMilliCores();
      double missingMilliCores = moveMachinesTo(pool, needed, fromDonors(idle, donors, pool));
      drain(missingMilliCores, fromDonors(drainable, donors, pool));
    }
    Predicate<String> unneeded = donor -> !shortages.containsKey(donor);
    for (String pool : poolsByNeed(shortages, Shortage::lateMilliCores)) {
      moveMachinesTo(pool, shortages.get(pool).milliCores(), fromDonors(idle, unneeded, pool));
    }
    sparePools().stream()
        .findFirst()
        .ifPresent(spare -> returnTo(spare, fromDonors(idle, unneeded, spare), nowMillis));
  }

  private static boolean isUrgent(String pool, Map<String, Shortage> shortages) {
    return shortages.getOrDefault(pool, Shortage.NONE).isUrgent();
  }

  private static List<String> poolsByNeed(
      Map<String, Shortage> shortages, ToLongFunction<Shortage> need) {
    return shortages.entrySet().stream()
        .filter(e -> need.applyAsLong(e.getValue()) > 0)
        .sorted(
            Comparator.comparingLong(
                (Map.Entry<String, Shortage> e) -> -need.applyAsLong(e.getValue())))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the machines that may be moved to a pool, from a spare pool or one that donates. */
  private List<MovableMachine> fromDonors(
      List<MovableMachine> machines, Predicate<String> donors, String pool) {
    return machines.stream()
        .filter(machine -> machine.spare() || donors.test(machine.pool()))
        .filter(machine -> !refusedMoves.isHopeless(machine.machine(), machine.pool(), pool))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private List<MovableMachine> candidates(Set<String> blocked, long nowMillis) {
    Set<String> sparePools = sparePools();
    Set<String> fixed = new HashSet<>(blocked);
    fixed.addAll(arrivingMachines.names());
    fixed.addAll(openOrders.machines());
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
    int count = Math.max(runs.size(), planner.isIdle(worker) ? 0 : 1);
    return new MovableMachine(worker.machine(), worker.service(), false, worker, count, persistent);
  }

  /**
   * Returns the idle machines in the order in which to move them, and records since when each is
   * idle.
   */
  private List<MovableMachine> idleMachines(List<MovableMachine> candidates, long nowMillis) {
    List<MovableMachine> idle =
        candidates.stream()
            .filter(MovableMachine::isIdle)
            .sorted(
                Comparator.comparing(MovableMachine::spare)
                    .thenComparing(machine -> -remainingWorkers(machine.pool())))
            .collect(Collectors.toCollection(ArrayList::new));
    idleSinceMillis
        .keySet()
        .retainAll(idle.stream().map(MovableMachine::machine).collect(Collectors.toSet()));
    idle.forEach(machine -> idleSinceMillis.putIfAbsent(machine.machine(), nowMillis));
    return idle;
  }

  /** Orders machines to a pool, and returns the processor capacity that it still lacks. */
  private double moveMachinesTo(
      String pool, long waitingMilliCores, List<MovableMachine> candidates) {
    double missingMilliCores = waitingMilliCores;
    double milliCoresEach = averageMachineMilliCores();
    missingMilliCores -= countArriving(pool) * milliCoresEach;
    while (missingMilliCores > MIN_SHORTAGE_FRACTION * milliCoresEach) {
      MovableMachine next = claim(candidates);
      if (next == null) {
        return missingMilliCores;
      }
      order(next, pool);
      missingMilliCores -= milliCoresEach;
    }
    return missingMilliCores;
  }

  /**
   * Claims machines that run only short tasks, so that they get no new work and can be moved soon.
   */
  private void drain(double waitingMilliCores, List<MovableMachine> drainable) {
    double missingMilliCores = waitingMilliCores;
    double milliCoresEach = averageMachineMilliCores();
    while (missingMilliCores > MIN_SHORTAGE_FRACTION * milliCoresEach && claim(drainable) != null) {
      missingMilliCores -= milliCoresEach;
    }
  }

  /** Claims the first unclaimed machine that its pool can spare, or returns null. */
  private MovableMachine claim(List<MovableMachine> candidates) {
    for (MovableMachine candidate : candidates) {
      boolean canSpare =
          candidate.spare() || remainingWorkers(candidate.pool()) > MIN_MACHINES_PER_POOL;
      if (canSpare && claimedMachines.add(candidate.machine())) {
        if (candidate.worker() != null) {
          claimedWorkers.add(candidate.worker().life().worker());
          remainingByPool.merge(candidate.pool(), -1, Integer::sum);
        }
        return candidate;
      }
    }
    return null;
  }

  private void countRemainingWorkers() {
    remainingByPool.clear();
    for (WorkerHeartbeat worker : directory.all()) {
      if (worker.phase() == WorkerPhase.READY) {
        remainingByPool.merge(worker.service(), 1, Integer::sum);
      }
    }
  }

  /** Returns the number of workers of a pool that take work and are not claimed. */
  private int remainingWorkers(String pool) {
    return remainingByPool.getOrDefault(pool, 0);
  }

  private long countArriving(String pool) {
    return arrivingMachines.countTo(pool) + openOrders.countTo(pool);
  }

  private void returnTo(String spare, List<MovableMachine> idle, long nowMillis) {
    List<MovableMachine> overdue =
        idle.stream()
            .filter(machine -> !machine.spare())
            .filter(m -> nowMillis - idleSinceMillis.get(m.machine()) >= IDLE_TIMEOUT_MILLIS)
            .collect(Collectors.toCollection(ArrayList::new));
    for (MovableMachine next = claim(overdue); next != null; next = claim(overdue)) {
      order(next, spare);
    }
  }

  private void order(MovableMachine candidate, String pool) {
    openOrders.propose(new MachineOrder(candidate.machine(), 0, pool));
  }

  private Set<String> sparePools() {
    return ledger.config().services().stream()
        .filter(ServiceConfig::spare)
        .map(ServiceConfig::name)
        .collect(Collectors.toSet());
  }

  private double averageMachineMilliCores() {
    return directory.all().stream()
        .mapToLong(worker -> worker.capacity().milliCores())
        .average()
        .orElse(1);
  }
}
