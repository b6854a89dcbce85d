package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.EndKind;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.JobStatus;
import org.plantainknot.core.job.RunEnd;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.Schedule;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.replica.ReplicaTiming;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests jobs whose schedule or steps hold large numbers. They guard against an accepted job that
 * ends all controllers because its tasks don't fit into their memory.
 */
public class LargeNumbersTest {

  private static final int MAX_PLANNED = 200;
  private static final int MAX_CONSIDERED = 8;
  private static final int GANG_TASKS = 10_000;
  private static final WorkerIncarnation WORKER = new WorkerIncarnation("w", 1);

  private LeaderFixture leader;
  private long lastEnd;

  @BeforeMethod
  void addWorker() {
    leader = new LeaderFixture("s");
    leader.addWorker("w", "s");
    lastEnd = 0;
  }

  @Test
  void aJobThatIsDueBillionsOfTimesRunsOneOccurrenceAfterTheOther() {
    submit(new Schedule(Integer.MAX_VALUE, 0, 1), LeaderFixture.step(2, 8_000).build());
    for (int occurrence = 0; occurrence < 20; occurrence++) {
      List<RunId> runs = planAndEnd();
      assertEquals(runs, List.of(run(occurrence, 0), run(occurrence, 1)));
    }
  }

  @Test
  void aJobThatIsDueLaterStartsNothingBefore() {
    submit(new Schedule(Integer.MAX_VALUE, 5_000, 1_000), LeaderFixture.step(2, 100).build());
    assertEquals(planAndEnd(), List.of());
    advanceTo(5_999);
    assertEquals(planAndEnd(), List.of(run(0, 0), run(0, 1)));
    advanceTo(6_000);
    assertEquals(planAndEnd(), List.of(run(1, 0), run(1, 1)));
  }

  @Test
  void dueOccurrencesThatFindNoRoomDontAddUp() {
    submit(new Schedule(Integer.MAX_VALUE, 0, 1), LeaderFixture.step(2, 20_000).build());
    for (int round = 0; round < 100; round++) {
      assertEquals(leader.planAndAssign(), List.of());
    }
    int considered = leader.ledger.job("j").orElseThrow().dueOccurrences(leader.nowMillis).size();
    assertTrue(considered <= MAX_CONSIDERED, considered + " occurrences");
  }

  @Test
  void aStepOfBillionsOfTasksRunsThemAsRoomAllows() {
    submit(Schedule.NOW, LeaderFixture.step(Integer.MAX_VALUE, 8_000).build());
    for (int round = 0; round < 20; round++) {
      assertEquals(planAndEnd().size(), 2);
    }
    assertEquals(leader.ledger.job("j").orElseThrow().status(), JobStatus.RUNNING);
  }

  @Test
  void aRoundOfPlanningAssignsABoundedNumberOfTasksThatNeedNoRoom() {
    submit(Schedule.NOW, LeaderFixture.step(1_000_000, 0).build());
    assertEquals(leader.planAndAssign().size(), MAX_PLANNED);
  }

  /** Guards against rounds so long that the leader loses its office again and again. */
  @Test
  void gangsThatAreWiderThanTheirPoolDontHoldUpPlanning() {
    addWorkers(12);
    StepSpec step = LeaderFixture.step(GANG_TASKS, 20).gang(true).build();
    List<String> gangs = List.of("a", "b", "c");
    gangs.forEach(gang -> leader.submit(gang, "s", step));
    leader.submit("j", "s", LeaderFixture.step(2, 100).build());
    assertEquals(planWithinElectionTimeout().size(), 2);
    for (String gang : gangs) {
      assertTrue(leader.ledger.job(gang).orElseThrow().createdTasks(0, 0).isEmpty(), gang);
    }
  }

  @Test
  void aWideGangThatItsPoolHasRoomForIsPlacedAsAWhole() {
    addWorkers(20);
    leader.submit("j", "s", LeaderFixture.step(GANG_TASKS, 20).gang(true).build());
    assertEquals(planWithinElectionTimeout().size(), GANG_TASKS);
  }

  private void addWorkers(int count) {
    for (int i = 1; i < count; i++) {
      leader.addWorker("w" + i, "s");
    }
  }

  private List<Assignment> planWithinElectionTimeout() {
    long startNanos = System.nanoTime();
    List<Assignment> planned = leader.planAndAssign();
    long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    assertTrue(
        tookMillis < ReplicaTiming.DEFAULT.minElectionTimeoutMillis(),
        "planning took " + tookMillis + " ms");
    return planned;
  }

  @Test
  void aScheduledJobCompletesOnceItsLastOccurrenceHasEnded() {
    submit(new Schedule(3, 0, 1), LeaderFixture.step(2, 100).build());
    assertEquals(planAndEnd().size(), 6);
    assertEquals(leader.ledger.job("j").orElseThrow().status(), JobStatus.COMPLETED);
  }

  @Test
  void aFinishedOccurrenceIsNotRunAgainAfterASnapshot() {
    submit(new Schedule(Integer.MAX_VALUE, 0, 1), LeaderFixture.step(2, 8_000).build());
    planAndEnd();
    List<Assignment> second = leader.planAndAssign();
    JobLedger.Image image = leader.ledger.image();
    assertEquals(image.jobs().get(0).tasks().size(), 2);
    leader.ledger.restore(image);
    assertEquals(leader.ledger.assignedTasks().size(), 2);
    end(second.stream().map(Assignment::run).toList());
    assertEquals(planAndEnd(), List.of(run(2, 0), run(2, 1)));
  }

  @Test
  void anEndOfATaskThatTheJobDoesNotHaveIsIgnored() {
    submit(new Schedule(2, 0, 1), LeaderFixture.step(2, 100).build());
    List<TaskId> unknown =
        List.of(
            new TaskId("j", -1, 0, 0),
            new TaskId("j", 0, -1, 0),
            new TaskId("j", 0, 0, -1),
            new TaskId("j", 2, 0, 0),
            new TaskId("j", 0, 1, 0),
            new TaskId("j", 0, 0, 2));
    end(unknown.stream().map(task -> new RunId(task, 0)).toList());
    end(List.of(new RunId(new TaskId("j", 0, 0, 0), 0)));
    assertEquals(leader.ledger.job("j").orElseThrow().status(), JobStatus.QUEUED);
    assertFalse(planAndEnd().isEmpty());
    assertTrue(leader.ledger.job("j").orElseThrow().status().isEnded());
  }

  private void submit(Schedule schedule, StepSpec step) {
    JobSpec job = new JobSpec("j", "s", "p", List.of(step), schedule);
    leader.ledger.apply(leader.nowMillis, new JobCommand.Submit(job));
  }

  private void advanceTo(long millis) {
    leader.nowMillis = millis;
    leader.reportFromAllWorkers();
  }

  /** Runs the planner until nothing fits, ends all runs as done and returns them. */
  private List<RunId> planAndEnd() {
    List<RunId> runs = leader.planAndAssign().stream().map(Assignment::run).toList();
    end(runs);
    return runs;
  }

  private void end(List<RunId> runs) {
    lastEnd += runs.size();
    List<RunEnd> ends = runs.stream().map(run -> new RunEnd(run, EndKind.DONE, "")).toList();
    JobCommand.NoteEnds note = new JobCommand.NoteEnds(WORKER, lastEnd, ends);
    leader.ledger.apply(leader.nowMillis, note);
    leader.dispatcher.applied(note, leader.nowMillis);
  }

  private static RunId run(int occurrence, int index) {
    return new RunId(new TaskId("j", occurrence, 0, index), 1);
  }
}
