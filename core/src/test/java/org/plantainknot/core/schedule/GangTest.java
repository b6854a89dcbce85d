package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.EndKind;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobStatus;
import org.plantainknot.core.job.RunEnd;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.WorkerIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests gangs that lose a member. They guard against a gang that is started again in parts, each
 * with a run number of its own, whose members never meet.
 */
public class GangTest {

  private static final int MEMBERS = 3;

  private LeaderFixture leader;
  private List<Assignment> members;
  private long lastEnd;

  @BeforeMethod
  void startGang() {
    leader = new LeaderFixture("s");
    for (int i = 0; i <= MEMBERS; i++) {
      leader.addWorker("w" + i, "s");
    }
    StepSpec step = LeaderFixture.step(MEMBERS, 9_000).gang(true).build();
    leader.submit("j", "s", step);
    members = leader.planAndAssign();
    assertEquals(members.size(), MEMBERS);
    leader.dispatcher.drain();
    lastEnd = 0;
  }

  @Test
  void aGangIsStartedAgainAsAWholeOnceAllItsMembersHaveEnded() {
    end(members.get(0), EndKind.FAILED);
    assertEquals(leader.planAndAssign(), List.of());
    end(members.get(1), EndKind.BROKEN);
    assertEquals(leader.planAndAssign(), List.of());
    end(members.get(2), EndKind.BROKEN);
    assertEquals(runNumbers(leader.planAndAssign()), List.of(2, 2, 2));
  }

  @Test
  void aGangIsStartedAgainAsAWholeAfterARunWasGivenUp() {
    giveUp(members.get(2));
    assertEquals(leader.planAndAssign(), List.of());
    end(members.get(0), EndKind.ALONE);
    end(members.get(1), EndKind.STOPPED);
    assertEquals(runNumbers(leader.planAndAssign()), List.of(2, 2, 2));
  }

  @Test
  void theOtherMembersAreStoppedOnceOneHasEnded() {
    startAll();
    end(members.get(0), EndKind.FAILED);
    assertEquals(stoppedRuns(), runs(members.subList(1, MEMBERS)));
  }

  @Test
  void theOtherMembersAreStoppedOnceTheStartOfOneWasRefused() {
    startAll();
    giveUp(members.get(1));
    assertEquals(stoppedRuns(), runs(List.of(members.get(0), members.get(2))));
  }

  @Test
  void aNewLeaderStopsTheRestOfAGangThatLostAMember() {
    giveUp(members.get(1));
    Dispatcher next =
        new Dispatcher(leader.ledger, leader.directory, LeaderFixture.TIMING, 2, leader.nowMillis);
    assertEquals(stoppedRuns(next), runs(List.of(members.get(0), members.get(2))));
  }

  @Test
  void aGangThatIsWholeIsNotStopped() {
    startAll();
    assertEquals(stoppedRuns(), Set.of());
  }

  @Test
  void aGangWhoseRunIsDoneIsNeitherStoppedNorStartedAgain() {
    startAll();
    end(members.get(0), EndKind.DONE);
    assertEquals(leader.planAndAssign(), List.of());
    end(members.get(1), EndKind.DONE);
    end(members.get(2), EndKind.DONE);
    assertEquals(leader.ledger.job("j").orElseThrow().status(), JobStatus.COMPLETED);
  }

  /** Guards against a gang that should last and is shown as completed after one end. */
  @Test
  void aPersistentGangIsStartedAgainAfterItsRunIsDone() {
    leader.submit("k", "s", LeaderFixture.step(2, 1_000).gang(true).persistent(true).build());
    List<Assignment> lasting = leader.planAndAssign();
    lasting.forEach(member -> end(member, EndKind.DONE));
    assertEquals(leader.ledger.job("k").orElseThrow().status(), JobStatus.RUNNING);
    assertEquals(runNumbers(leader.planAndAssign()), List.of(2, 2));
  }

  @Test
  void aGangIsNotProposedInPartsWhileItsAssignmentIsNotCommitted() {
    leader.submit("k", "s", LeaderFixture.step(MEMBERS, 1_000).gang(true).build());
    assertEquals(leader.planner.plan(leader.nowMillis, leader.nowMillis).size(), MEMBERS);
    assertEquals(leader.planner.plan(leader.nowMillis, leader.nowMillis), List.of());
  }

  private void startAll() {
    for (Assignment member : members) {
      WorkerIncarnation worker = member.worker();
      leader.dispatcher.started(
          new WorkerTarget(worker, worker.worker() + ":1"),
          member.run(),
          new OrderAnswer(CallOutcome.ACCEPTED, 0),
          leader.nowMillis);
    }
  }

  private void end(Assignment member, EndKind kind) {
    RunEnd end = new RunEnd(member.run(), kind, "");
    apply(new JobCommand.NoteEnds(member.worker(), ++lastEnd, List.of(end)));
  }

  private void giveUp(Assignment member) {
    apply(new JobCommand.GiveUpRuns(List.of(member.run())));
  }

  private void apply(JobCommand command) {
    leader.ledger.apply(leader.nowMillis, command);
    leader.dispatcher.applied(command, leader.nowMillis);
  }

  /** Advances the leader's dispatcher and returns the runs that it stops. */
  private Set<RunId> stoppedRuns() {
    return stoppedRuns(leader.dispatcher);
  }

  private Set<RunId> stoppedRuns(Dispatcher dispatcher) {
    dispatcher.tick(leader.nowMillis);
    return dispatcher.drain().stream()
        .filter(action -> action instanceof Action.Stop)
        .map(action -> ((Action.Stop) action).run())
        .collect(Collectors.toSet());
  }

  private static Set<RunId> runs(List<Assignment> assignments) {
    return assignments.stream().map(Assignment::run).collect(Collectors.toSet());
  }

  private static List<Integer> runNumbers(List<Assignment> assignments) {
    return assignments.stream().map(assignment -> assignment.run().run()).toList();
  }
}
