package org.plantainknot.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.plantainknot.core.placement.Resources;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests ends that arrive after their runs were given up. */
public class JobLedgerTest {

  private static final WorkerIncarnation WORKER = new WorkerIncarnation("w", 1);
  private static final TaskId TASK = new TaskId("j", 0, 0, 0);
  private static final RunId FIRST = new RunId(TASK, 1);
  private static final RunId SECOND = new RunId(TASK, 2);

  private JobLedger ledger;

  @BeforeMethod
  void giveUpTheFirstRun() {
    ledger = new JobLedger();
    QueueConfig queue =
        new QueueConfig("q", "h", "/q/", "s", 0, 4, 2, 1_000, 3_000, AdviceTerms.NONE);
    apply(
        new JobCommand.PutConfig(
            new FleetConfig(1, List.of(queue), List.of(new ServiceConfig("s", false)), "{}")));
    StepSpec step = StepSpec.builder().size(new Resources(1_000, 1, 0)).build();
    apply(new JobCommand.Submit(new JobSpec("j", "q", "p", List.of(step), Schedule.NOW)));
    apply(new JobCommand.Assign(List.of(new Assignment(FIRST, WORKER))));
    apply(new JobCommand.GiveUpRuns(List.of(FIRST)));
  }

  @Test
  void taskThatIsDoneIsNotStartedAgainBecauseItsRunWasGivenUp() {
    apply(noteEnd(EndKind.DONE));
    assertTrue(ledger.task(TASK) == null || ledger.task(TASK).isDone());
    assertEquals(ledger.job("j").orElseThrow().status(), JobStatus.COMPLETED);
    assertEquals(ledger.assignedTasks(), List.of());
  }

  @Test
  void endOfAGivenUpRunThatIsNotDoneLeavesTheTaskWaiting() {
    apply(noteEnd(EndKind.STOPPED));
    assertTrue(ledger.task(TASK).isWaiting());
    assertEquals(ledger.task(TASK).failedRuns(), 0);
  }

  @Test
  void endOfAnEarlierRunDoesNotEndTheRunThatReplacedIt() {
    apply(new JobCommand.Assign(List.of(new Assignment(SECOND, WORKER))));
    apply(noteEnd(EndKind.DONE));
    assertFalse(ledger.task(TASK).isDone());
    assertEquals(ledger.task(TASK).worker(), WORKER);
  }

  private static JobCommand noteEnd(EndKind kind) {
    return new JobCommand.NoteEnds(WORKER, 1, List.of(new RunEnd(FIRST, kind, "")));
  }

  private void apply(JobCommand command) {
    ledger.apply(0, command);
  }
}
