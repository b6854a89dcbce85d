package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.EndKind;
import org.plantainknot.core.job.JobCommand.NoteEnds;
import org.plantainknot.core.job.RunEnd;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.testng.annotations.Test;

/** Tests that learned durations tell how long workers execute tasks, however slow commits are. */
public class DurationRecorderTest {

  private static final long TASK_MILLIS = 1_000;
  private static final long SLOW_COMMIT_MILLIS = 4_000;
  private static final int TASKS = 40;
  private static final double TOLERANCE_MILLIS = 20;

  @Test
  void learnedDurationsDoNotContainTheCommitOfTheEnd() {
    LeaderFixture leader = new LeaderFixture("s");
    leader.addWorker("w", "s");
    WorkerTarget target = new WorkerTarget(new WorkerIncarnation("w", 1), "w:1");
    for (int i = 1; i <= TASKS; i++) {
      long taskMillis = TASK_MILLIS / 2 + i * TASK_MILLIS / TASKS;
      leader.submit("j" + i, "s", LeaderFixture.step(1, 16_000).estimateMillis(taskMillis).build());
      List<Assignment> assigned = leader.planAndAssign();
      execute(leader, target, assigned.get(0).run(), i, taskMillis);
    }
    double expected = leader.dispatcher.durationEstimator().expectedMillis("s", TASK_MILLIS);
    assertEquals(expected, TASK_MILLIS, TOLERANCE_MILLIS);
  }

  private static void execute(
      LeaderFixture leader, WorkerTarget target, RunId run, int number, long taskMillis) {
    OrderAnswer accepted = new OrderAnswer(CallOutcome.ACCEPTED, leader.nowMillis);
    leader.dispatcher.started(target, run, accepted, leader.nowMillis);
    leader.nowMillis += taskMillis;
    RunEnd end = new RunEnd(run, EndKind.DONE, "");
    List<ListedEnd> ends = List.of(new ListedEnd(number, end));
    leader.dispatcher.renewed(
        target,
        leader.nowMillis,
        WorkerReport.complete(1, leader.nowMillis, List.of(), ends),
        leader.nowMillis);
    leader.nowMillis += SLOW_COMMIT_MILLIS;
    NoteEnds noteEnds = new NoteEnds(target.life(), number, List.of(end));
    leader.ledger.apply(leader.nowMillis, noteEnds);
    leader.dispatcher.applied(noteEnds, leader.nowMillis);
    leader.reportFromAllWorkers();
  }
}
