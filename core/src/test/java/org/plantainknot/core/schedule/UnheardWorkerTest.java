package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.MachineOrder;
import org.plantainknot.core.job.MaintenanceWave;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests what a leader does with machines whose workers have sent no heartbeat since all controllers
 * restarted. Two persistent tasks of a step are at work, on the workers w0 and w1 of the machines
 * m-w0 and m-w1.
 */
public class UnheardWorkerTest {

  private static final long STEP_MILLIS = 20;

  /** Time within which a lease of an earlier leader may go on. */
  private static final long LEASES_LAST_MILLIS = 7_600;

  private LeaderFixture leader;
  private Dispatcher dispatcher;
  private Maintainer maintainer;
  private List<Action> actions;

  @BeforeMethod
  void electALeaderThatKnowsNoWorker() {
    leader = new LeaderFixture("s");
    dispatcher = null;
    StepSpec step = LeaderFixture.step(2, 1_000).persistent(true).maxUnavailable(1).build();
    leader.submit("j", "s", step);
    for (int i = 0; i < 2; i++) {
      RunId run = new RunId(new TaskId("j", 0, 0, i), 1);
      Assignment assignment = new Assignment(run, new WorkerIncarnation("w" + i, 1));
      leader.ledger.apply(leader.nowMillis, new JobCommand.Assign(List.of(assignment)));
    }
    actions = List.of();
  }

  private void elect() {
    dispatcher =
        new Dispatcher(leader.ledger, leader.directory, LeaderFixture.TIMING, 2, leader.nowMillis);
    maintainer =
        new Maintainer(
            leader.ledger,
            leader.directory,
            dispatcher,
            new Planner(leader.ledger, leader.directory, dispatcher),
            LeaderFixture.TIMING,
            new MachineOrderTimes(),
            2,
            leader.nowMillis);
  }

  /** Guards against upkeep that ends work units, since all workers are unknown after a restart. */
  @Test
  void aMachineIsNotTakenDownWhileWorkIsAssignedToItsListedWorker() {
    startWave("m-w0", "m-w1");
    elect();
    list("m-w0", "w0", "m-w1", "w1");
    assertEquals(orderedUntil(LEASES_LAST_MILLIS), List.of());
    checkIn("w0");
    checkIn("w1");
    assertEquals(stopped().size(), 1, "one task of the step is stopped at a time");
    assertEquals(ordered(), List.of());
  }

  /** Guards against a list that is older than the worker that is at work on the machine. */
  @Test
  void noMachineIsTakenDownWhileWorkIsOnAWorkerWhoseMachineIsUnknown() {
    startWave("m-w0");
    elect();
    list("m-w0", "an-earlier-worker", "m-w1", "w1");
    assertEquals(orderedUntil(LEASES_LAST_MILLIS), List.of());
  }

  @Test
  void aMachineOfWhichTheWorkerIsUnknownIsTakenDownOnceAllWorkIsLocated() {
    startWave("m-w2");
    elect();
    list("m-w0", "w0", "m-w1", "w1", "m-w2", "w2");
    tick();
    assertEquals(ordered(), List.of(upkeep("m-w2")));
  }

  @Test
  void aMachineIsTakenDownOnceTheLeaseOfItsUnheardWorkerHasExpired() {
    startWave("m-w0");
    elect();
    list("m-w0", "w0", "m-w1", "w1");
    assertEquals(orderedUntil(LEASES_LAST_MILLIS), List.of());
    leader.nowMillis += 5 * STEP_MILLIS;
    tick();
    tick();
    assertEquals(ordered(), List.of(upkeep("m-w0")));
  }

  /**
   * Guards against an order of an earlier leader that is repeated although work is at its place.
   */
  @Test
  void anEarlierLeadersOrderIsNotRepeatedWhileWorkIsOnTheMachine() {
    startWave("m-w0");
    apply(new JobCommand.OrderMachine(upkeep("m-w0")));
    elect();
    list("m-w0", "w0", "m-w1", "w1");
    leader.nowMillis += LeaderFixture.TIMING.leaderWaitMillis() + STEP_MILLIS;
    tick();
    assertFalse(actions.contains(new Action.SendMachineOrder(upkeep("m-w0"), 2)));
    checkIn("w1");
    checkIn("w0");
    assertEquals(stopped(), List.of(new RunId(new TaskId("j", 0, 0, 0), 1)));
  }

  @Test
  void aMoveIsDroppedIfWorkIsAssignedToTheListedWorkerOfTheMachine() {
    elect();
    list("m-w0", "w0", "m-w1", "w1");
    MachineOrder move = new MachineOrder("m-w0", 0, "elsewhere");
    apply(new JobCommand.OrderMachine(move));
    actions = dispatcher.drain();
    assertTrue(actions.contains(new Action.Propose(new JobCommand.SettleMachine(move, false))));
    assertFalse(actions.contains(new Action.SendMachineOrder(move, 2)));
  }

  private static MachineOrder upkeep(String machine) {
    return new MachineOrder(machine, 1, "");
  }

  /** Returns what is ordered before a time since the election. */
  private List<MachineOrder> orderedUntil(long sinceElectionMillis) {
    long endMillis = leader.nowMillis + sinceElectionMillis;
    List<MachineOrder> all = new ArrayList<>();
    while (leader.nowMillis + STEP_MILLIS < endMillis) {
      leader.nowMillis += STEP_MILLIS;
      tick();
      all.addAll(ordered());
    }
    return all;
  }

  /** Sends a worker's heartbeat and its report of the run that is at work on it. */
  private void checkIn(String worker) {
    leader.nowMillis += STEP_MILLIS;
    WorkerHeartbeat heartbeat = LeaderFixture.heartbeat(worker, "s", 1);
    leader.directory.recordHeartbeat(heartbeat, leader.nowMillis);
    RunId run = new RunId(new TaskId("j", 0, 0, Integer.parseInt(worker.substring(1))), 1);
    dispatcher.renewed(
        new WorkerTarget(heartbeat.life(), heartbeat.address()),
        leader.nowMillis,
        WorkerReport.complete(
            1, leader.nowMillis, List.of(new ListedRun(run, "", 100, 0)), List.of()),
        leader.nowMillis);
    tick();
  }

  private void startWave(String... machines) {
    leader.ledger.apply(
        leader.nowMillis,
        new JobCommand.StartWave(new MaintenanceWave(1, List.of(machines), 30_000, 2)));
  }

  private void list(String... machinesAndWorkers) {
    List<Machine> list = new ArrayList<>();
    for (int i = 0; i < machinesAndWorkers.length; i += 2) {
      list.add(
          new Machine(
              machinesAndWorkers[i],
              "s",
              MachineState.UP,
              List.of("a", "r1"),
              machinesAndWorkers[i + 1]));
    }
    maintainer.machinesListed(list);
  }

  /** Advances the leader and applies what it gives up. */
  private void tick() {
    dispatcher.tick(leader.nowMillis);
    maintainer.tick(leader.nowMillis);
    actions = dispatcher.drain();
    for (Action action : actions) {
      if (action instanceof Action.Propose propose
          && propose.command() instanceof JobCommand.GiveUpRuns giveUp) {
        apply(giveUp);
      }
    }
  }

  private void apply(JobCommand command) {
    leader.ledger.apply(leader.nowMillis, command);
    if (dispatcher != null) {
      dispatcher.applied(command, leader.nowMillis);
      maintainer.applied(command, leader.nowMillis);
    }
  }

  private List<RunId> stopped() {
    return actions.stream()
        .filter(action -> action instanceof Action.Stop)
        .map(action -> ((Action.Stop) action).run())
        .toList();
  }

  private List<MachineOrder> ordered() {
    return LeaderFixture.ordersIn(actions);
  }
}
