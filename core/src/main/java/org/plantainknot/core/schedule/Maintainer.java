package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainknot.core.job.Job;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobCommand.OrderMachine;
import org.plantainknot.core.job.JobCommand.SettleMachine;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.MachineOrder;
import org.plantainknot.core.job.Task;
import org.plantainknot.core.job.WaveProgress;
import org.plantainknot.core.job.WaveProgress.MachinePhase;
import org.plantainknot.core.job.WorkerIncarnation;

/**
 * Sends orders for machines to the platform, and carries out maintenance waves: drains a machine,
 * orders its maintenance and waits for its return.
 *
 * <p>The number of machines of a wave that are or may be down never exceeds the limit of the wave.
 * An order is committed before it is sent, and a persistent task is stopped on its worker before
 * the machine is taken down. Not thread-safe.
 */
public final class Maintainer {

  private static final long ORDER_RETRY_MILLIS = 500;

  /** Time within which an order is answered or has failed. */
  private static final long ORDER_ANSWER_MILLIS = 3_000;

  /** Pause before an upkeep that the platform refused is ordered again. */
  private static final long REFUSED_RETRY_MILLIS = 2_000;

  /** Time within which a machine's new worker sends a heartbeat after the maintenance. */
  private static final long RETURN_MILLIS = 1_000;

  private final JobLedger ledger;
  private final WorkerDirectory directory;
  private final Dispatcher dispatcher;
  private final Planner planner;
  private final DispatchTiming timing;
  private final long term;
  private final OrderWait orderWait;
  private final MachineTable machines = new MachineTable();
  private final MachineOccupancy occupancy;
  private final OpenMachineOrders openOrders;
  private final PoolBalancer balancer;
  private final Map<String, Long> downSinceMillis = new HashMap<>();
  private final Map<String, Long> nextSendMillis = new HashMap<>();
  private final Map<String, Long> refusedUntilMillis = new HashMap<>();
  private final Map<String, WorkerIncarnation> incarnationByMachine = new HashMap<>();
  private final Map<String, WorkerIncarnation> incarnationBeforeOrder = new HashMap<>();
  private final Set<String> draining = new HashSet<>();
  private final Set<String> settling = new HashSet<>();

  /**
   * Creates a maintainer for one leader's term; machines already in maintenance count as down from
   * now on.
   */
  public Maintainer(
      JobLedger ledger,
      WorkerDirectory directory,
      Dispatcher dispatcher,
      Planner planner,
      DispatchTiming timing,
      MachineOrderTimes orderTimes,
      long term,
      long nowMillis) {
    this.ledger = ledger;
    this.directory = directory;
    this.dispatcher = dispatcher;
    this.planner = planner;
    this.timing = timing;
    this.term = term;
    this.orderWait = orderTimes.waitForNewLeader(ledger, timing.leaderWaitMillis(), nowMillis);
    this.occupancy = new MachineOccupancy(directory, dispatcher, planner, machines);
    this.openOrders = new OpenMachineOrders(ledger, dispatcher);
    this.balancer = new PoolBalancer(ledger, directory, dispatcher, planner, machines, openOrders);
    for (WaveProgress wave : ledger.waves()) {
      wave.machines(MachinePhase.BEGUN).forEach(m -> downSinceMillis.put(m, nowMillis));
    }
  }

  /** Handles the platform's list of machines. */
  public void machinesListed(List<Machine> list) {
    machines.replaceAll(list);
  }

  /** Handles the failure of a request for the list of machines. */
  public void listFailed() {
    machines.listFailed();
  }

  /** Handles a command that was applied to the replicated job state. */
  public void applied(JobCommand command, long nowMillis) {
    if (command instanceof OrderMachine order) {
      if (openOrders.applied(order.order())) {
        WorkerHeartbeat worker = occupancy.latestWorkerOf(order.order().machine());
        if (worker != null) {
          incarnationBeforeOrder.put(order.order().machine(), worker.life());
        }
        sendIfEmpty(order.order(), nowMillis);
      }
    } else if (command instanceof SettleMachine settle) {
      String machine = settle.order().machine();
      settling.remove(machine);
      nextSendMillis.remove(machine);
      draining.remove(machine);
      incarnationByMachine.remove(machine);
      balancer.orderCompleted(settle.order(), settle.carriedOut(), nowMillis);
      if (settle.carriedOut()) {
        onTakenDown(settle.order(), nowMillis);
      }
    }
  }

  /**
   * Takes the worker incarnation that ran on the machine when the order was first sent out of use,
   * until it proves to be alive: the platform also accepts an order that was carried out before. An
   * order that an earlier leader sent may have been carried out long ago, so the worker seen now
   * can be a later incarnation, which must be kept.
   */
  private void onTakenDown(MachineOrder order, long nowMillis) {
    WorkerIncarnation ordered = incarnationBeforeOrder.remove(order.machine());
    if (ordered != null) {
      dispatcher.machineTakenDown(ordered, nowMillis);
    }
    if (!order.isMove()) {
      downSinceMillis.put(order.machine(), nowMillis);
    }
  }

  /** Handles the outcome of an order. */
  public void orderAnswered(MachineOrder order, MachineOutcome outcome, long nowMillis) {
    if (settling.contains(order.machine())) {
      return;
    }
    switch (outcome) {
      case ACCEPTED -> settle(order, true);
      case IMPOSSIBLE -> onRefused(order, nowMillis);
      case BUSY -> {
        settle(order, false);
        incarnationBeforeOrder.remove(order.machine());
        if (!order.isMove()) {
          downSinceMillis.put(order.machine(), nowMillis);
        }
      }
      default -> nextSendMillis.put(order.machine(), nowMillis + ORDER_RETRY_MILLIS);
    }
  }

  /**
   * Drops an order that the platform refuses. The refusal proves nothing of the machine or its
   * worker. Only the platform's list shows that a machine is gone, and with it its upkeep.
   */
  private void onRefused(MachineOrder order, long nowMillis) {
    String machine = order.machine();
    incarnationBeforeOrder.remove(machine);
    boolean gone = machines.isKnown() && machines.find(machine) == null;
    settle(order, !order.isMove() && gone);
    if (order.isMove()) {
      balancer.moveRefused(order, nowMillis);
    } else {
      refusedUntilMillis.put(machine, nowMillis + REFUSED_RETRY_MILLIS);
    }
  }

  /** Advances maintenance waves, moves machines between pools and repeats unanswered orders. */
  public void tick(long nowMillis) {
    downSinceMillis
        .entrySet()
        .removeIf(e -> nowMillis - e.getValue() >= timing.maintenanceMillis() + RETURN_MILLIS);
    refusedUntilMillis.values().removeIf(untilMillis -> nowMillis >= untilMillis);
    Set<String> reserved = new HashSet<>();
    for (WaveProgress wave : ledger.waves()) {
      if (!wave.isCompleted()) {
        requestListIfDue(nowMillis);
        if (machines.isKnown()) {
          advance(wave, reserved, nowMillis);
        }
      }
    }
    moveMachines(nowMillis);
    resendOrders(nowMillis);
    reserved.addAll(balancer.leavingWorkers());
    incarnationByMachine.values().forEach(incarnation -> reserved.add(incarnation.worker()));
    planner.reserve(reserved);
  }

  private void moveMachines(long nowMillis) {
    if (balancer.needsMachines()) {
      requestListIfDue(nowMillis);
    }
    Set<String> blocked = new HashSet<>(draining);
    blocked.addAll(downSinceMillis.keySet());
    blocked.addAll(machinesInOrderWait(nowMillis));
    balancer.tick(blocked, nowMillis);
  }

  private Set<String> machinesInOrderWait(long nowMillis) {
    Set<String> waiting = new HashSet<>();
    machines.all().forEach(machine -> waiting.add(machine.name()));
    directory.all().forEach(worker -> waiting.add(worker.machine()));
    waiting.removeIf(machine -> orderWait.isOver(machine, nowMillis));
    return waiting;
  }

  private void requestListIfDue(long nowMillis) {
    if (machines.markRequestedIfDue(nowMillis)) {
      dispatcher.enqueue(new Action.ListMachines());
    }
  }

  private void resendOrders(long nowMillis) {
    for (MachineOrder order : openOrders.recorded()) {
      boolean due = nowMillis >= nextSendMillis.getOrDefault(order.machine(), 0L);
      if (due
          && !settling.contains(order.machine())
          && orderWait.isOver(order.machine(), nowMillis)) {
        sendIfEmpty(order, nowMillis);
      }
    }
  }

  /**
   * Sends an order unless it would end work, or an earlier one of it, whoever sent that. A move is
   * dropped if there is work on the machine, and upkeep waits until the machine is drained.
   */
  private void sendIfEmpty(MachineOrder order, long nowMillis) {
    if (order.isMove() && occupancy.holdsWork(order.machine())) {
      incarnationBeforeOrder.remove(order.machine());
      settle(order, false);
    } else if (order.isMove() || occupancy.isCertainlyEmpty(order.machine(), nowMillis)) {
      send(order, nowMillis);
    } else {
      stopRunsOn(occupancy.latestWorkerOf(order.machine()), nowMillis);
    }
  }

  /** Proposes that an order is completed; until the log applies that, nothing is sent for it. */
  private void settle(MachineOrder order, boolean carriedOut) {
    settling.add(order.machine());
    dispatcher.propose(new SettleMachine(order, carriedOut));
  }

  private void send(MachineOrder order, long nowMillis) {
    nextSendMillis.put(order.machine(), nowMillis + ORDER_ANSWER_MILLIS);
    dispatcher.enqueue(new Action.SendMachineOrder(order, term));
  }

  private void advance(WaveProgress wave, Set<String> reserved, long nowMillis) {
    long down = wave.machines(MachinePhase.ORDERED).size();
    down += wave.wave().machines().stream().filter(downSinceMillis::containsKey).count();
    long allowed = wave.wave().maxDown() - down;
    for (String name : wave.machines(MachinePhase.DUE)) {
      if (draining.contains(name)) {
        allowed--;
        advanceMachine(wave, name, reserved, nowMillis);
      }
    }
    for (String name : wave.machines(MachinePhase.DUE)) {
      boolean eligible =
          !draining.contains(name)
              && !downSinceMillis.containsKey(name)
              && !refusedUntilMillis.containsKey(name)
              && orderWait.isOver(name, nowMillis);
      if (allowed > 0 && eligible) {
        allowed--;
        draining.add(name);
        advanceMachine(wave, name, reserved, nowMillis);
      }
    }
  }

  private void advanceMachine(
      WaveProgress wave, String name, Set<String> reserved, long nowMillis) {
    WorkerHeartbeat worker = occupancy.latestWorkerOf(name);
    if (worker != null) {
      reserved.add(worker.life().worker());
      incarnationByMachine.put(name, worker.life());
    }
    if (occupancy.isCertainlyEmpty(name, nowMillis)) {
      openOrders.propose(new MachineOrder(name, wave.wave().number(), ""));
    } else {
      stopRunsOn(worker, nowMillis);
    }
  }

  private void stopRunsOn(WorkerHeartbeat worker, long nowMillis) {
    if (worker != null) {
      dispatcher.runsOn(worker.life()).forEach(run -> stopIfAllowed(run, nowMillis));
    }
  }

  /**
   * Stops a run of a persistent task unless another task of its step is unavailable. Other runs are
   * left to end by themselves.
   */
  private void stopIfAllowed(TrackedRun run, long nowMillis) {
    Task task = run.task();
    if (!task.step().persistent()) {
      return;
    }
    if (countOtherUnavailableTasks(task, nowMillis) == 0) {
      dispatcher.stop(run, nowMillis);
    }
  }

  private long countOtherUnavailableTasks(Task task, long nowMillis) {
    Job job = ledger.job(task.id().job()).orElseThrow();
    long operational =
        job.createdTasks(task.id().occurrence(), task.id().step()).stream()
            .filter(other -> other != task && dispatcher.isOperational(other, nowMillis))
            .count();
    return task.step().count() - 1 - operational;
  }
}
