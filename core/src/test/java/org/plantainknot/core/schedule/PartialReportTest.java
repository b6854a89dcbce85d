package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.EndKind;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobCommand.GiveUpRuns;
import org.plantainknot.core.job.JobCommand.NoteEnds;
import org.plantainknot.core.job.JobStatus;
import org.plantainknot.core.job.RunEnd;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests reports of workers that have more ends than one report lists. */
public class PartialReportTest {

  private static final int TASKS = 6;
  private static final int MAX_LISTED_ENDS = 2;
  private static final int MAX_REPORTS = 20;
  private static final WorkerIncarnation INCARNATION = new WorkerIncarnation("w", 1);
  private static final WorkerTarget TARGET = new WorkerTarget(INCARNATION, "w:1");

  private LeaderFixture leader;
  private Dispatcher dispatcher;
  private List<RunId> runs;
  private List<ListedEnd> unacknowledgedEnds;
  private List<RunId> givenUp;

  @BeforeMethod
  void assignTasks() {
    leader = new LeaderFixture("s");
    leader.addWorker("w", "s");
    leader.submit("j", "s", LeaderFixture.step(TASKS, 100).build());
    runs = leader.planAndAssign().stream().map(Assignment::run).toList();
    assertEquals(runs.size(), TASKS);
    dispatcher = leader.dispatcher;
    dispatcher.drain();
    unacknowledgedEnds = new ArrayList<>();
    givenUp = new ArrayList<>();
  }

  /**
   * Guards against a new leader that runs done tasks again, as their ends come in later reports.
   */
  @Test
  void newLeaderGivesUpNoRunWhoseEndAPartialReportMayOmit() {
    dispatcher =
        new Dispatcher(leader.ledger, leader.directory, LeaderFixture.TIMING, 2, leader.nowMillis);
    endAllRunsLastStartedFirst();
    collectEndsWhileStartsAreAnswered(CallOutcome.OLD);
    assertEquals(givenUp, List.of());
    assertEquals(leader.ledger.job("j").orElseThrow().status(), JobStatus.COMPLETED);
  }

  /** Guards against the same for runs that this leader started, by way of a stop. */
  @Test
  void runOfTheSameLeaderIsNotStoppedBecauseAPartialReportOmitsIt() {
    runs.forEach(run -> answerStart(run, CallOutcome.ACCEPTED));
    endAllRunsLastStartedFirst();
    boolean stopped = collectEndsWhileStartsAreAnswered(CallOutcome.OLD);
    assertFalse(stopped);
    assertEquals(givenUp, List.of());
    assertEquals(leader.ledger.job("j").orElseThrow().status(), JobStatus.COMPLETED);
  }

  /** Guards against the same after a restart of the worker under the id that it had. */
  @Test
  void runThatTheSuccessorMayHaveEndedIsNotGivenUpOnAPartialReport() {
    WorkerIncarnation successor = new WorkerIncarnation("w", 2);
    WorkerHeartbeat known = leader.directory.find("w").orElseThrow();
    runs.forEach(run -> answerStart(run, CallOutcome.NO_ANSWER));
    leader.directory.recordHeartbeat(known.restartedAs(successor), leader.nowMillis);
    leader.nowMillis += 10;
    endAllRunsLastStartedFirst();
    report(new WorkerTarget(successor, "w:1"), true);
    List<Action> actions = tick();
    for (int i = 0; i < 3; i++) {
      actions.forEach(this::acceptStop);
      leader.nowMillis += 10;
      report(new WorkerTarget(successor, "w:1"), true);
      actions = tick();
    }
    assertEquals(givenUp, List.of());
  }

  @Test
  void runThatACompleteReportDoesNotListIsGivenUpOnceItsStartIsRefusedAsOld() {
    dispatcher =
        new Dispatcher(leader.ledger, leader.directory, LeaderFixture.TIMING, 2, leader.nowMillis);
    collectEndsWhileStartsAreAnswered(CallOutcome.OLD);
    assertEquals(givenUp.size(), TASKS);
  }

  private void endAllRunsLastStartedFirst() {
    for (int i = 0; i < TASKS; i++) {
      RunEnd end = new RunEnd(runs.get(TASKS - 1 - i), EndKind.DONE, "");
      unacknowledgedEnds.add(new ListedEnd(i + 1, end));
    }
  }

  /**
   * Makes the worker report until it has no ends left, answers all starts and stops meanwhile, and
   * returns whether any run was stopped.
   */
  private boolean collectEndsWhileStartsAreAnswered(CallOutcome startOutcome) {
    boolean stopped = false;
    for (int i = 0; i < MAX_REPORTS; i++) {
      leader.nowMillis += 10;
      report(TARGET, unacknowledgedEnds.size() >= MAX_LISTED_ENDS);
      List<JobCommand> commands = new ArrayList<>();
      for (Action action : tick()) {
        if (action instanceof Action.Start start) {
          answerStart(start.run(), startOutcome);
        } else if (action instanceof Action.Stop stop) {
          stopped = true;
          dispatcher.stopped(stop.run(), CallOutcome.ACCEPTED, leader.nowMillis);
        } else if (action instanceof Action.Propose propose) {
          commands.add(propose.command());
        }
      }
      leader.nowMillis += 10;
      report(TARGET, unacknowledgedEnds.size() >= MAX_LISTED_ENDS);
      tick();
      commands.forEach(this::commit);
    }
    return stopped;
  }

  private void report(WorkerTarget target, boolean mayOmitEnds) {
    List<ListedEnd> listed = unacknowledgedEnds.stream().limit(MAX_LISTED_ENDS).toList();
    dispatcher.renewed(
        target,
        leader.nowMillis,
        new WorkerReport(
            target.life().bornMillis(), leader.nowMillis, List.of(), listed, mayOmitEnds),
        leader.nowMillis);
  }

  private List<Action> tick() {
    dispatcher.tick(leader.nowMillis);
    List<Action> actions = dispatcher.drain();
    for (Action action : actions) {
      if (action instanceof Action.Propose propose
          && propose.command() instanceof GiveUpRuns giveUp) {
        givenUp.addAll(giveUp.runs());
      }
    }
    return actions;
  }

  private void commit(JobCommand command) {
    leader.ledger.apply(leader.nowMillis, command);
    dispatcher.applied(command, leader.nowMillis);
    if (command instanceof NoteEnds note) {
      unacknowledgedEnds.removeIf(end -> end.number() <= note.lastEnd());
    }
  }

  private void answerStart(RunId run, CallOutcome outcome) {
    dispatcher.started(TARGET, run, new OrderAnswer(outcome, 0), leader.nowMillis);
  }

  private void acceptStop(Action action) {
    if (action instanceof Action.Stop stop) {
      dispatcher.stopped(stop.run(), CallOutcome.ACCEPTED, leader.nowMillis);
    }
  }
}
