package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobCommand.OrderMachine;
import org.plantainknot.core.job.JobCommand.SettleMachine;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.MachineOrder;
import org.plantainknot.core.job.Task;
import org.plantainknot.core.job.WaveProgress;
import org.plantainknot.core.job.WaveProgress.MachinePhase;
import org.plantainknot.core.job.WorkerLife;

/**
 * Orders what machines have to do. Maintains the machines of waves: empties a machine, orders its
 * maintenance, awaits its return.
 *
 * <p>Never more machines of a wave are down, or may be, than the wave allows. An order is committed
 * before it is sent, and a task that may not be missed leaves its worker before the machine goes.
 * Not thread-safe.
 */
public final class Maintainer {

  private static final long ORDER_RETRY_MILLIS = 500;

  /** Time in which an order is answered or has failed. */
  private static final long ORDER_ANSWER_MILLIS = 3_000;

  /** Time in which a machine's new worker is heard after the maintenance. */
  private static final long RETURN_MILLIS = 1_000;

  private final JobLedger ledger;
  private final WorkerDirectory directory;
  private final Dispatcher dispatcher;
  private final Planner planner;
  private final DispatchTiming timing;
  private final long term;
  private final OrderWait orderWait;
  private final MachineTable machines = new MachineTable();
  private final PoolBalancer balancer;
  private final Map<String, Long> downSinceMillis = new HashMap<>();
  private final Map<String, Long> nextSendMillis = new HashMap<>();
  private final Map<String, Long> proposedAtMillis = new HashMap<>();
  private final Map<String, WorkerLife> lifeByMachine = new HashMap<>();
  private final Map<String, WorkerLife> lifeBeforeOrder = new HashMap<>();
  private final Set<String> emptying = new HashSet<>();

  /** Creates the maintenance of a leader's term. */
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
    this.orderWait = orderTimes.waitOfNewLeader(ledger, timing.officeWaitMillis(), nowMillis);
    this.balancer = new PoolBalancer(ledger, directory, dispatcher, planner, machines);
    for (WaveProgress wave : ledger.waves()) {
      wave.machines(MachinePhase.BEGUN).forEach(m -> downSinceMillis.put(m, nowMillis));
    }
  }

  /** Takes the platform's list of machines. */
  public void listed(List<Machine> list) {
    machines.listed(list);
  }

  /** Notes that the list could not be had. */
  public void listFailed() {
    machines.listFailed();
  }

  /** Carries on after a command was applied. */
  public void applied(JobCommand command, long nowMillis) {
    if (command instanceof OrderMachine order) {
      proposedAtMillis.remove(order.order().machine());
      sendIfHarmless(order.order(), nowMillis);
    } else if (command instanceof SettleMachine settle) {
      String machine = settle.order().machine();
      nextSendMillis.remove(machine);
      emptying.remove(machine);
      lifeByMachine.remove(machine);
      balancer.settled(settle.order(), settle.carriedOut(), nowMillis);
      if (settle.carriedOut()) {
        takenDown(settle.order(), nowMillis);
      }
    }
  }

  /**
   * All that ran on the machine has ended with its worker. An order that an earlier leader sent may
   * have been carried out long ago, so that the worker seen now can be a later one.
   */
  private void takenDown(MachineOrder order, long nowMillis) {
    WorkerLife ordered = lifeBeforeOrder.remove(order.machine());
    if (ordered != null) {
      dispatcher.lifeOver(ordered);
    }
    if (!order.isMove()) {
      downSinceMillis.put(order.machine(), nowMillis);
    }
  }

  /** Takes the outcome of an order. */
  public void ordered(MachineOrder order, MachineOutcome outcome, long nowMillis) {
    switch (outcome) {
      case ACCEPTED, IMPOSSIBLE -> dispatcher.propose(new SettleMachine(order, true));
      case BUSY -> {
        dispatcher.propose(new SettleMachine(order, false));
        lifeBeforeOrder.remove(order.machine());
        if (!order.isMove()) {
          downSinceMillis.put(order.machine(), nowMillis);
        }
      }
      default -> nextSendMillis.put(order.machine(), nowMillis + ORDER_RETRY_MILLIS);
    }
  }

  /** Lets time pass. */
  public void tick(long nowMillis) {
    downSinceMillis
        .entrySet()
        .removeIf(e -> nowMillis - e.getValue() >= timing.maintenanceMillis() + RETURN_MILLIS);
    Set<String> reserved = new HashSet<>();
    for (WaveProgress wave : ledger.waves()) {
      if (!wave.isCompleted()) {
        listIfDue(nowMillis);
        if (machines.isKnown()) {
          advance(wave, reserved, nowMillis);
        }
      }
    }
    moveMachines(nowMillis);
    resendOrders(nowMillis);
    reserved.addAll(balancer.leavingWorkers());
    lifeByMachine.values().forEach(life -> reserved.add(life.worker()));
    planner.reserve(reserved);
  }

  private void moveMachines(long nowMillis) {
    if (balancer.needsMachines()) {
      listIfDue(nowMillis);
    }
    Set<String> blocked = new HashSet<>(emptying);
    blocked.addAll(downSinceMillis.keySet());
    blocked.addAll(heldByEarlierLeaders(nowMillis));
    balancer.tick(blocked, nowMillis);
  }

  private Set<String> heldByEarlierLeaders(long nowMillis) {
    Set<String> held = new HashSet<>();
    machines.all().forEach(machine -> held.add(machine.name()));
    directory.all().forEach(worker -> held.add(worker.machine()));
    held.removeIf(machine -> orderWait.isOver(machine, nowMillis));
    return held;
  }

  private void listIfDue(long nowMillis) {
    if (machines.ask(nowMillis)) {
      dispatcher.request(new Action.ListMachines());
    }
  }

  private void resendOrders(long nowMillis) {
    for (MachineOrder order : ledger.orders()) {
      boolean due = nowMillis >= nextSendMillis.getOrDefault(order.machine(), 0L);
      if (due && orderWait.isOver(order.machine(), nowMillis)) {
        send(order, nowMillis);
      }
    }
  }

  /** A move is worth less than work that was placed on the machine meanwhile. */
  private void sendIfHarmless(MachineOrder order, long nowMillis) {
    WorkerHeartbeat worker = workerOf(order.machine(), machines.find(order.machine()));
    if (order.isMove() && worker != null && !planner.isEmpty(worker)) {
      dispatcher.propose(new SettleMachine(order, false));
      return;
    }
    if (worker != null) {
      lifeBeforeOrder.put(order.machine(), worker.life());
    }
    send(order, nowMillis);
  }

  private void send(MachineOrder order, long nowMillis) {
    nextSendMillis.put(order.machine(), nowMillis + ORDER_ANSWER_MILLIS);
    dispatcher.request(new Action.SendMachineOrder(order, term));
  }

  private void advance(WaveProgress wave, Set<String> reserved, long nowMillis) {
    long down = wave.machines(MachinePhase.ORDERED).size();
    down += wave.wave().machines().stream().filter(downSinceMillis::containsKey).count();
    long room = wave.wave().maxDown() - down;
    for (String name : wave.machines(MachinePhase.DUE)) {
      if (emptying.contains(name)) {
        room--;
        advanceMachine(wave, name, reserved, nowMillis);
      }
    }
    for (String name : wave.machines(MachinePhase.DUE)) {
      boolean free =
          !emptying.contains(name)
              && !downSinceMillis.containsKey(name)
              && orderWait.isOver(name, nowMillis);
      if (room > 0 && free) {
        room--;
        emptying.add(name);
        advanceMachine(wave, name, reserved, nowMillis);
      }
    }
  }

  private void advanceMachine(
      WaveProgress wave, String name, Set<String> reserved, long nowMillis) {
    Machine machine = machines.find(name);
    WorkerHeartbeat worker = workerOf(name, machine);
    boolean empty = true;
    if (worker != null) {
      reserved.add(worker.life().worker());
      lifeByMachine.put(name, worker.life());
      for (TrackedRun run : dispatcher.runsOn(worker.life())) {
        empty = false;
        stopIfAllowed(run, nowMillis);
      }
    }
    if (empty) {
      MachineOrder order = new MachineOrder(name, wave.wave().number(), "");
      proposeOnce(name, new OrderMachine(order), nowMillis);
    }
  }

  /** Returns the latest worker of a machine, by what it says itself or else by the list. */
  private WorkerHeartbeat workerOf(String name, Machine listedMachine) {
    WorkerHeartbeat latest = null;
    for (WorkerHeartbeat worker : directory.all()) {
      boolean same =
          worker.machine().equals(name)
              || (listedMachine != null && worker.life().worker().equals(listedMachine.worker()));
      boolean later = latest == null || worker.life().bornMillis() > latest.life().bornMillis();
      if (same && later) {
        latest = worker;
      }
    }
    return latest;
  }

  private void proposeOnce(String machine, JobCommand command, long nowMillis) {
    long proposed = proposedAtMillis.getOrDefault(machine, Long.MIN_VALUE / 2);
    if (nowMillis - proposed >= ORDER_RETRY_MILLIS) {
      proposedAtMillis.put(machine, nowMillis);
      dispatcher.propose(command);
    }
  }

  /** Stops a run that is not nearly over, where its step may miss one more task. */
  private void stopIfAllowed(TrackedRun run, long nowMillis) {
    Task task = run.task();
    if (!task.step().persistent()) {
      return;
    }
    if (awayOthers(task, nowMillis) == 0) {
      dispatcher.stop(run, nowMillis);
    }
  }

  private long awayOthers(Task task, long nowMillis) {
    return ledger
        .job(task.id().job())
        .orElseThrow()
        .tasks(task.id().occurrence(), task.id().step())
        .stream()
        .filter(other -> other != task && !dispatcher.isAtWork(other, nowMillis))
        .count();
  }
}
