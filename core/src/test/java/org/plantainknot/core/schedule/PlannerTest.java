package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.StepSpec;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of the planning order at a demand peak: a backlog, new jobs, and capacity for only a part
 * of them.
 */
public class PlannerTest {

  private static final long TASK_MILLIS = 1_000;
  private static final long OBJECTIVE_MILLIS =
      (long) (LeaderFixture.STRETCH * TASK_MILLIS) + LeaderFixture.TARGET_LATENCY_MILLIS;

  private static final long SLOW_COMMIT_MILLIS = 5_000;

  private LeaderFixture leader;

  @BeforeMethod
  void setUpOnePool() {
    leader = new LeaderFixture("busy");
  }

  @Test
  void aBacklogThatIsAlreadyLateDoesNotDelayNewJobs() {
    leader.submit("backlog", "busy", wholeWorker());
    leader.nowMillis += OBJECTIVE_MILLIS - TASK_MILLIS + 1;
    leader.submit("newcomer", "busy", wholeWorker());
    leader.addWorker("w1", "busy");
    assertEquals(jobs(leader.planAndAssign()), List.of("newcomer"));
  }

  @Test
  void jobsThatCanStillMeetTheirObjectivesGoByDeadline() {
    leader.submit("first", "busy", wholeWorker());
    leader.nowMillis += OBJECTIVE_MILLIS - TASK_MILLIS;
    leader.submit("second", "busy", wholeWorker());
    leader.addWorker("w1", "busy");
    assertEquals(jobs(leader.planAndAssign()), List.of("first"));
  }

  @Test
  void lateJobsGoBeforeOverdueJobs() {
    leader.submit("overdue", "busy", wholeWorker());
    leader.nowMillis += 3 * OBJECTIVE_MILLIS;
    leader.submit("late", "busy", wholeWorker());
    leader.nowMillis += OBJECTIVE_MILLIS;
    leader.addWorker("w1", "busy");
    assertEquals(jobs(leader.planAndAssign()), List.of("late"));
  }

  @Test
  void persistentTasksGoFirst() {
    leader.submit("short", "busy", wholeWorker());
    leader.submit("lasting", "busy", LeaderFixture.step(1, 16_000).persistent(true).build());
    leader.addWorker("w1", "busy");
    assertEquals(jobs(leader.planAndAssign()), List.of("lasting"));
  }

  @Test
  void shortTasksFillAWorkerBeforeTheyUseAnEmptyOne() {
    leader.addWorker("w1", "busy");
    leader.addWorker("w2", "busy");
    leader.submit("one", "busy", LeaderFixture.step(8, 2_000).build());
    List<Assignment> assignments = leader.planAndAssign();
    assertEquals(assignments.size(), 8);
    assertEquals(assignments.stream().map(Assignment::worker).distinct().count(), 1);
  }

  @Test
  void capacityOfAnUncommittedAssignmentIsNotPlannedForOtherTasks() {
    leader.addWorker("w1", "busy");
    leader.submit("one", "busy", wholeWorker());
    assertEquals(leader.planner.plan(leader.nowMillis, leader.nowMillis).size(), 1);
    leader.nowMillis += SLOW_COMMIT_MILLIS;
    leader.reportFromAllWorkers();
    leader.submit("two", "busy", wholeWorker());
    assertEquals(leader.planner.plan(leader.nowMillis, leader.nowMillis), List.of());
  }

  @Test
  void aGangThatDoesNotFitLeavesItsPlacesToTheNextJob() {
    leader.addWorker("w1", "busy");
    StepSpec gang = LeaderFixture.step(3, 8_000).estimateMillis(TASK_MILLIS).gang(true).build();
    leader.submit("gang", "busy", gang);
    leader.nowMillis++;
    StepSpec filling = LeaderFixture.step(2, 4_000).estimateMillis(TASK_MILLIS).build();
    leader.submit("other", "busy", filling);
    assertEquals(jobs(leader.planAndAssign()), List.of("other", "other"));
  }

  private static StepSpec wholeWorker() {
    return LeaderFixture.step(1, 16_000).estimateMillis(TASK_MILLIS).build();
  }

  private static List<String> jobs(List<Assignment> assignments) {
    return assignments.stream().map(assignment -> assignment.run().task().job()).toList();
  }
}
