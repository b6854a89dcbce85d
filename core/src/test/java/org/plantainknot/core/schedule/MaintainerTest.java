package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.plantainknot.core.job.AdviceTerms;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.FleetConfig;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.MachineOrder;
import org.plantainknot.core.job.MaintenanceWave;
import org.plantainknot.core.job.QueueConfig;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.Schedule;
import org.plantainknot.core.job.ServiceConfig;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.Task;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of maintenance and its orders with a step of persistent tasks, one of which may be away.
 */
public class MaintainerTest {

  private static final DispatchTiming TIMING =
      new DispatchTiming(6_000, 1_000, 400, 900, 3_000, 2_000, 4_500);
  private static final long AFTER_LEADER_WAIT_MILLIS = 3_100;

  private JobLedger ledger;
  private WorkerDirectory directory;
  private Dispatcher dispatcher;
  private Planner planner;
  private Maintainer maintainer;
  private MachineOrderTimes orderTimes;
  private long nowMillis;
  private final Map<WorkerIncarnation, RunId> runByIncarnation =
      new TreeMap<>(Comparator.comparing(WorkerIncarnation::worker));

  @BeforeMethod
  void startTwoPersistentTasksOnTwoWorkers() {
    ledger = new JobLedger();
    directory = new WorkerDirectory();
    runByIncarnation.clear();
    nowMillis = 0;
    QueueConfig queue =
        new QueueConfig("q", "h", "/q/", "s", 0, 4, 2, 1_000, 3_000, AdviceTerms.NONE);
    FleetConfig config =
        new FleetConfig(1, List.of(queue), List.of(new ServiceConfig("s", false)), "{}");
    ledger.apply(0, new JobCommand.PutConfig(config));
    StepSpec step =
        StepSpec.builder()
            .count(2)
            .size(new Resources(1_000, 100, 0))
            .persistent(true)
            .maxUnavailable(1)
            .build();
    ledger.apply(0, new JobCommand.Submit(new JobSpec("j", "q", "p", List.of(step), Schedule.NOW)));
    for (int i = 0; i < 2; i++) {
      WorkerIncarnation incarnation = new WorkerIncarnation("w" + i, 1);
      directory.recordHeartbeat(heartbeat(incarnation, "m" + i), 0);
      RunId run = new RunId(new TaskId("j", 0, 0, i), 1);
      runByIncarnation.put(incarnation, run);
      ledger.apply(0, new JobCommand.Assign(List.of(new Assignment(run, incarnation))));
    }
    orderTimes = new MachineOrderTimes();
    restoreSnapshotWithoutOrderTimes();
    elect(1);
  }

  private void restoreSnapshotWithoutOrderTimes() {
    JobLedger.Image image = ledger.image();
    ledger.restore(
        new JobLedger.Image(
            nowMillis,
            image.config(),
            image.jobs(),
            image.lastEnds(),
            image.waves(),
            image.orders(),
            null,
            image.earlyCancels()));
    orderTimes.restored(ledger, nowMillis, nowMillis);
  }

  private void elect(long term) {
    dispatcher = new Dispatcher(ledger, directory, TIMING, term, nowMillis);
    planner = new Planner(ledger, directory, dispatcher);
    maintainer =
        new Maintainer(ledger, directory, dispatcher, planner, TIMING, orderTimes, term, nowMillis);
  }

  @Test
  void noTaskIsStoppedWhileAnotherOfItsStepIsOnAnUnresponsiveWorker() {
    startWave(2, "m0");
    reportFrom("w0");
    reportFrom("w1");
    nowMillis = AFTER_LEADER_WAIT_MILLIS;
    reportFrom("w0");
    dispatcher.renewalFailed(target(incarnation("w1")), CallOutcome.NO_ANSWER, nowMillis);
    assertTrue(stopped(tick()).isEmpty());
    reportFrom("w1");
    assertEquals(stopped(tick()), List.of(runByIncarnation.get(incarnation("w0"))));
  }

  @Test
  void orderThatTheLedgerRefusedIsNotSent() {
    MachineOrder first = new MachineOrder("m9", 0, "s");
    MachineOrder second = new MachineOrder("m9", 0, "other");
    assertEquals(sentAfterApplying(first), List.of(first));
    assertEquals(sentAfterApplying(second), List.of());
  }

  private List<MachineOrder> sentAfterApplying(MachineOrder order) {
    JobCommand command = new JobCommand.OrderMachine(order);
    ledger.apply(nowMillis, command);
    maintainer.applied(command, nowMillis);
    return dispatcher.drain().stream()
        .filter(action -> action instanceof Action.SendMachineOrder)
        .map(action -> ((Action.SendMachineOrder) action).order())
        .toList();
  }

  @Test
  void maintenanceIsNotOrderedWhileAnAssignmentToTheMachineIsUncommitted() {
    WorkerIncarnation empty = new WorkerIncarnation("w2", 1);
    directory.recordHeartbeat(heartbeat(empty, "m2"), 0);
    nowMillis = AFTER_LEADER_WAIT_MILLIS;
    dispatcher.renewed(
        target(empty),
        nowMillis,
        WorkerReport.complete(1, nowMillis, List.of(), List.of()),
        nowMillis);
    StepSpec step = StepSpec.builder().size(new Resources(1_000, 100, 0)).persistent(true).build();
    apply(new JobCommand.Submit(new JobSpec("k", "q", "p", List.of(step), Schedule.NOW)));
    List<Assignment> uncommitted = planner.plan(nowMillis, nowMillis);
    assertEquals(
        uncommitted, List.of(new Assignment(new RunId(new TaskId("k", 0, 0, 0), 1), empty)));
    startWave(1, "m2");
    assertEquals(
        LeaderFixture.ordersIn(tick()), List.of(), "the task starts before the order is committed");
  }

  @Test
  void anAnsweredOrderIsNotSentAgainWhileItsEndIsUncommitted() {
    MachineOrder order = new MachineOrder("m9", 0, "s");
    nowMillis = AFTER_LEADER_WAIT_MILLIS;
    assertEquals(sentAfterApplying(order), List.of(order));
    maintainer.orderAnswered(order, MachineOutcome.ACCEPTED, nowMillis);
    List<Action> later = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      nowMillis += 100;
      later.addAll(tick());
    }
    assertFalse(later.contains(new Action.SendMachineOrder(order, 1)));
  }

  @Test
  void aMoveDroppedBecauseOfPlacedWorkIsNotSentWhileItsEndIsUncommitted() {
    nowMillis = AFTER_LEADER_WAIT_MILLIS;
    reportFrom("w0");
    MachineOrder move = new MachineOrder("m0", 0, "elsewhere");
    assertEquals(sentAfterApplying(move), List.of());
    nowMillis += 20;
    assertFalse(tick().contains(new Action.SendMachineOrder(move, 1)), "work is on the machine");
  }

  @Test
  void onlyOneTaskOfAStepIsStoppedAtATime() {
    startWave(2, "m0", "m1");
    nowMillis = AFTER_LEADER_WAIT_MILLIS;
    reportFrom("w0");
    reportFrom("w1");
    assertEquals(stopped(tick()).size(), 1);
  }

  @Test
  void nothingIsOrderedWhileAnEarlierLeaderMayStillSendOrders() {
    startWave(2, "m9");
    nowMillis = TIMING.leaderWaitMillis() - 1;
    assertTrue(LeaderFixture.ordersIn(tick()).isEmpty());
    nowMillis = AFTER_LEADER_WAIT_MILLIS;
    assertEquals(LeaderFixture.ordersIn(tick()), List.of(new MachineOrder("m9", 1, "")));
  }

  @Test
  void aNewLeaderWaitsOnlyForRecentlyOrderedMachines() {
    startWave(2, "m8", "m9");
    nowMillis = 60_000;
    MachineOrder move = new MachineOrder("m8", 0, "elsewhere");
    apply(new JobCommand.OrderMachine(move));
    apply(new JobCommand.SettleMachine(move, true));
    elect(2);
    assertEquals(LeaderFixture.ordersIn(tick()), List.of(new MachineOrder("m9", 1, "")));
    nowMillis += TIMING.leaderWaitMillis() - 1;
    assertFalse(LeaderFixture.ordersIn(tick()).contains(new MachineOrder("m8", 1, "")));
    nowMillis += 1;
    assertTrue(LeaderFixture.ordersIn(tick()).contains(new MachineOrder("m8", 1, "")));
  }

  @Test
  void aNewLeaderWaitsBeforeItRepeatsAnOpenOrder() {
    startWave(1, "m9");
    MachineOrder openOrder = new MachineOrder("m9", 1, "");
    apply(new JobCommand.OrderMachine(openOrder));
    nowMillis = 60_000;
    elect(2);
    assertFalse(tick().contains(new Action.SendMachineOrder(openOrder, 2)));
    nowMillis += TIMING.leaderWaitMillis();
    assertTrue(tick().contains(new Action.SendMachineOrder(openOrder, 2)));
  }

  @Test
  void aNewLeaderWaitsForAllMachinesAfterARecentSnapshot() {
    startWave(1, "m9");
    nowMillis = 60_000;
    restoreSnapshotWithoutOrderTimes();
    elect(2);
    assertTrue(LeaderFixture.ordersIn(tick()).isEmpty());
    nowMillis += TIMING.leaderWaitMillis();
    assertFalse(LeaderFixture.ordersIn(tick()).isEmpty());
  }

  @Test
  void aMachineCountsAsDownUntilItsMaintenanceAndReturnTimesHavePassed() {
    startWave(1, "m8", "m9");
    nowMillis = AFTER_LEADER_WAIT_MILLIS;
    MachineOrder first = LeaderFixture.ordersIn(tick()).get(0);
    apply(new JobCommand.OrderMachine(first));
    apply(new JobCommand.SettleMachine(first, true));
    nowMillis += TIMING.maintenanceMillis();
    assertTrue(LeaderFixture.ordersIn(tick()).isEmpty());
    nowMillis += 1_100;
    assertFalse(LeaderFixture.ordersIn(tick()).isEmpty());
  }

  @Test
  void aWorkerThatStartedAfterAnEarlierLeadersOrderIsKept() {
    WorkerIncarnation later = new WorkerIncarnation("w2", 1);
    directory.recordHeartbeat(heartbeat(later, "m2"), 0);
    startWave(1, "m2");
    MachineOrder order = new MachineOrder("m2", 1, "");
    ledger.apply(nowMillis, new JobCommand.OrderMachine(order));
    nowMillis = AFTER_LEADER_WAIT_MILLIS;
    assertTrue(tick().contains(new Action.SendMachineOrder(order, 1)));
    apply(new JobCommand.SettleMachine(order, true));
    dispatcher.tick(nowMillis);
    assertTrue(
        dispatcher.drain().stream()
            .anyMatch(a -> a instanceof Action.Renew r && r.target().life().equals(later)));
  }

  private void startWave(int maxDown, String... machines) {
    apply(new JobCommand.StartWave(new MaintenanceWave(1, List.of(machines), 30_000, maxDown)));
  }

  private void apply(JobCommand command) {
    ledger.apply(nowMillis, command);
    orderTimes.applied(command, nowMillis, nowMillis, nowMillis);
    dispatcher.applied(command, nowMillis);
    maintainer.applied(command, nowMillis);
  }

  private List<Action> tick() {
    maintainer.machinesListed(List.of());
    maintainer.tick(nowMillis);
    return dispatcher.drain();
  }

  private static List<RunId> stopped(List<Action> actions) {
    List<RunId> stopped = new ArrayList<>();
    for (Action action : actions) {
      if (action instanceof Action.Stop stop) {
        stopped.add(stop.run());
      }
    }
    return stopped;
  }

  private void reportFrom(String worker) {
    WorkerIncarnation incarnation = incarnation(worker);
    Task task = ledger.task(runByIncarnation.get(incarnation).task());
    ListedRun running = new ListedRun(task.runId(), "", 100, 0);
    dispatcher.renewed(
        target(incarnation),
        nowMillis,
        WorkerReport.complete(incarnation.bornMillis(), nowMillis + 1, List.of(running), List.of()),
        nowMillis);
  }

  private static WorkerIncarnation incarnation(String worker) {
    return new WorkerIncarnation(worker, 1);
  }

  private static WorkerTarget target(WorkerIncarnation incarnation) {
    return new WorkerTarget(incarnation, incarnation.worker() + ":1");
  }

  private static WorkerHeartbeat heartbeat(WorkerIncarnation incarnation, String machine) {
    return new WorkerHeartbeat(
        incarnation,
        1,
        "s",
        incarnation.worker() + ":1",
        "dc",
        WorkerPhase.READY,
        0,
        new Resources(16_000, 32_000, 0),
        List.of("a", "r1"),
        machine);
  }
}
