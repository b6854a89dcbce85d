package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.MachineOrder;
import org.plantainknot.core.job.MaintenanceWave;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what the answers to machine orders prove: a refused order changes nothing. */
public class RefusedOrderTest {

  private static final long SECOND_MILLIS = 1_000;

  private LeaderFixture leader;
  private Maintainer maintainer;
  private List<Action> actions;

  @BeforeMethod
  void setUpTwoPools() {
    leader = new LeaderFixture("busy", "idle");
    maintainer =
        new Maintainer(
            leader.ledger,
            leader.directory,
            leader.dispatcher,
            leader.planner,
            LeaderFixture.TIMING,
            new MachineOrderTimes(),
            1,
            leader.nowMillis);
    leader.addWorker("busy-1", "busy");
    for (int i = 1; i <= 6; i++) {
      leader.addWorker("idle-" + i, "idle");
    }
    listMachines("m-busy-1", "m-idle-1");
  }

  /** Guards against accepted work that never runs because refused moves ended the workers' use. */
  @Test
  void theWorkerOfAMachineWhoseMoveIsRefusedStaysInUse() {
    List<MachineOrder> orders = ordersForBusyPool(1);
    assertEquals(orders.size(), 1);
    answer(orders.get(0), MachineOutcome.IMPOSSIBLE);
    leader.nowMillis += 200;
    leader.reportFromAllWorkers();
    assertTrue(isUsable(workerOf(orders.get(0))), "the worker is out of use");
    tick();
    assertFalse(leader.planner.reserved().contains(workerOf(orders.get(0))), "it gets no work");
  }

  /** Guards against idle machines that are claimed again and again for moves that are refused. */
  @Test
  void aPoolOfOtherMachinesIsNotAskedForMachinesAgainAndAgain() {
    List<MachineOrder> refused = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      List<MachineOrder> orders = ordersForBusyPool(1);
      orders.forEach(order -> answer(order, MachineOutcome.IMPOSSIBLE));
      refused.addAll(orders);
      leader.nowMillis += 200;
      leader.reportFromAllWorkers();
    }
    assertEquals(refused.size(), 2, refused.toString());
  }

  /** Guards against machines that are drained for a move that the platform refuses. */
  @Test
  void machinesAreNotDrainedForMovesThatAreRefused() {
    for (int i = 0; i < 2; i++) {
      ordersForBusyPool(1).forEach(order -> answer(order, MachineOutcome.IMPOSSIBLE));
      leader.nowMillis += 200;
      leader.reportFromAllWorkers();
    }
    leader.submit("i", "idle", LeaderFixture.step(4, 16_000).build());
    leader.planAndAssign();
    leader.submit("c", "busy", LeaderFixture.step(16 * 20, 1_000).build());
    leader.planner.plan(leader.nowMillis, leader.nowMillis);
    tick();
    assertEquals(leader.planner.reserved(), Set.of());
  }

  /** Guards against a wave that is shown as completed although a machine of it was refused. */
  @Test
  void aRefusedUpkeepIsOrderedAgainWhileTheMachineIsListed() {
    apply(new JobCommand.StartWave(new MaintenanceWave(1, List.of("m-idle-1"), 30_000, 1)));
    tick();
    MachineOrder upkeep = new MachineOrder("m-idle-1", 1, "");
    assertEquals(ordered(), List.of(upkeep));
    apply(new JobCommand.OrderMachine(upkeep));
    answer(upkeep, MachineOutcome.IMPOSSIBLE);
    assertFalse(leader.ledger.wave(1).orElseThrow().isCompleted(), "the machine is still listed");
    assertTrue(isUsable("idle-1"), "the worker is out of use");
    leader.nowMillis += 3 * SECOND_MILLIS;
    tick();
    assertEquals(ordered(), List.of(upkeep));
  }

  @Test
  void theUpkeepOfAMachineThatIsGoneCountsAsBegun() {
    apply(new JobCommand.StartWave(new MaintenanceWave(1, List.of("m-gone"), 30_000, 1)));
    tick();
    MachineOrder upkeep = new MachineOrder("m-gone", 1, "");
    assertEquals(ordered(), List.of(upkeep));
    apply(new JobCommand.OrderMachine(upkeep));
    answer(upkeep, MachineOutcome.IMPOSSIBLE);
    assertTrue(leader.ledger.wave(1).orElseThrow().isCompleted());
  }

  /** Guards against a live worker that stays out of use since its order was carried out before. */
  @Test
  void aWorkerThatAnswersAfterAnAcceptedOrderIsInUseAgain() {
    List<MachineOrder> orders = ordersForBusyPool(1);
    String worker = workerOf(orders.get(0));
    answer(orders.get(0), MachineOutcome.ACCEPTED);
    assertFalse(isUsable(worker), "its machine was taken down");
    leader.nowMillis += SECOND_MILLIS;
    tickDispatcher();
    assertFalse(isRenewed(worker), "it has sent no heartbeat since");
    leader.directory.recordHeartbeat(LeaderFixture.heartbeat(worker, "idle", 2), leader.nowMillis);
    tickDispatcher();
    assertTrue(isRenewed(worker), "a heartbeat may prove that it is alive");
    tickDispatcher();
    assertFalse(isRenewed(worker), "it is called once for each heartbeat");
    leader.reportFromAllWorkers();
    assertTrue(isUsable(worker), "it has answered a later call");
  }

  private void tickDispatcher() {
    leader.dispatcher.drain();
    leader.dispatcher.tick(leader.nowMillis);
    actions = leader.dispatcher.drain();
  }

  private boolean isRenewed(String worker) {
    return actions.stream()
        .anyMatch(a -> a instanceof Action.Renew r && r.target().life().worker().equals(worker));
  }

  /** Submits work that lacks the given number of machines, and applies the orders for them. */
  private List<MachineOrder> ordersForBusyPool(int machines) {
    leader.submit("b", "busy", LeaderFixture.step(16 + 16 * machines, 1_000).build());
    leader.planner.plan(leader.nowMillis, leader.nowMillis);
    tick();
    List<MachineOrder> orders = ordered();
    orders.forEach(order -> apply(new JobCommand.OrderMachine(order)));
    return orders;
  }

  /** Answers an order and applies what the leader proposes then. */
  private void answer(MachineOrder order, MachineOutcome outcome) {
    leader.dispatcher.drain();
    maintainer.orderAnswered(order, outcome, leader.nowMillis);
    for (Action action : leader.dispatcher.drain()) {
      if (action instanceof Action.Propose propose) {
        apply(propose.command());
      }
    }
  }

  private boolean isUsable(String worker) {
    WorkerHeartbeat heartbeat = leader.directory.find(worker).orElseThrow();
    return leader.dispatcher.isUsable(heartbeat, leader.nowMillis);
  }

  private static String workerOf(MachineOrder order) {
    return order.machine().substring("m-".length());
  }

  private void tick() {
    leader.dispatcher.drain();
    maintainer.tick(leader.nowMillis);
    actions = leader.dispatcher.drain();
  }

  private List<MachineOrder> ordered() {
    return LeaderFixture.ordersIn(actions);
  }

  private void apply(JobCommand command) {
    leader.ledger.apply(leader.nowMillis, command);
    leader.dispatcher.applied(command, leader.nowMillis);
    maintainer.applied(command, leader.nowMillis);
  }

  private void listMachines(String... names) {
    List<Machine> list = new ArrayList<>();
    for (String name : names) {
      list.add(
          new Machine(
              name,
              name.contains("busy") ? "busy" : "idle",
              MachineState.UP,
              List.of("a", "r1"),
              name.substring("m-".length())));
    }
    maintainer.machinesListed(list);
  }
}
