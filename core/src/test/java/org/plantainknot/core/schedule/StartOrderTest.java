package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.plantainknot.core.job.EndKind;
import org.plantainknot.core.job.JobCommand.NoteEnds;
import org.plantainknot.core.job.RunEnd;
import org.plantainknot.core.job.WorkerIncarnation;
import org.testng.annotations.Test;

/** Tests starts that are refused, unanswered or repeated, and the renewals beside them. */
public class StartOrderTest extends DispatcherFixture {

  @Test
  void refusalDoesNotResolveAnEarlierCopyOfTheStart() {
    start(false);
    assign();
    reportAndTick(List.of());
    answerStart(CallOutcome.NO_ANSWER);
    nowMillis += TIMING.retryMillis();
    reportAndTick(List.of());
    answerStart(CallOutcome.NO_ROOM);
    List<Action> actions = tick();
    assertFalse(givesUp(actions), "the first copy may still be executed");
    assertTrue(stops(actions));
    dispatcher.stopped(run, CallOutcome.ACCEPTED, nowMillis);
    nowMillis += 10;
    assertTrue(givesUp(reportAndTick(List.of())), "a stopped run never starts");
  }

  @Test
  void refusedStartIsGivenUpAtOnceIfNoOtherCopyIsUnresolved() {
    start(false);
    assign();
    reportAndTick(List.of());
    assertTrue(givesUp(answerStart(CallOutcome.NO_ROOM)));
  }

  @Test
  void startIsNotRepeatedWhileItsRunIsBeingGivenUp() {
    start(false);
    assign();
    reportAndTick(List.of());
    assertTrue(givesUp(answerStart(CallOutcome.NO_ROOM)));
    nowMillis += TIMING.retryMillis();
    assertFalse(starts(reportAndTick(List.of())), "the task becomes free once the log commits");
  }

  @Test
  void unansweredStartIsStoppedOnTheRestartedWorkerBeforeItsRunIsGivenUp() {
    start(false);
    assign();
    reportAndTick(List.of());
    WorkerIncarnation later = new WorkerIncarnation("w", 2);
    directory.recordHeartbeat(heartbeat(later, WorkerPhase.READY, 1), nowMillis);
    List<Action> actions = tick();
    assertFalse(givesUp(actions), "the later incarnation may still execute the start");
    Action.Stop stop = new Action.Stop(new WorkerTarget(later, "w:1"), run, 1);
    assertTrue(actions.contains(stop), actions.toString());
  }

  @Test
  void refusalDoesNotResolveStartsSentByAnEarlierLeader() {
    start(false);
    nowMillis++;
    reportAndTick(List.of());
    assertFalse(givesUp(answerStart(CallOutcome.NO_ROOM)));
    assertTrue(stops(tick()));
  }

  @Test
  void renewalAcknowledgesEndsOnlyWhileTheWorkerListsThem() {
    start(false);
    reportRunning();
    for (Action action : tick()) {
      if (action instanceof Action.Renew renew) {
        assertEquals(renew.acknowledgedEnd(), 0);
      }
    }
  }

  @Test
  void runIsNotGivenUpBeforeTheLeaseOfAStartSentAfterTheWorkerWasTakenForRestarted() {
    start(false);
    nowMillis = 5_000;
    reportAndTick(List.of());
    long clockOfAnotherLife = 10;
    dispatcher.started(
        TARGET, run, new OrderAnswer(CallOutcome.ACCEPTED, clockOfAnotherLife), nowMillis);
    nowMillis += 1_500;
    assign();
    long grantedUntilMillis = 0;
    List<Action> actions = tick();
    while (!givesUp(actions)) {
      for (Action action : actions) {
        if (action instanceof Action.Start start) {
          grantedUntilMillis = Math.max(grantedUntilMillis, start.untilMillis());
        }
      }
      nowMillis += STEP_MILLIS;
      actions = tick();
    }
    long workerClockMillis = nowMillis + 1;
    assertTrue(
        workerClockMillis > grantedUntilMillis,
        "given up at " + workerClockMillis + ", lease until " + grantedUntilMillis);
  }

  @Test
  void endsAreProposedOnceHoweverLongTheirCommitTakes() {
    start(false);
    int proposals = 0;
    for (int i = 0; i < 40; i++) {
      proposals += countProposedEnds(reportDone());
      nowMillis += 100;
    }
    assertEquals(proposals, 1);
  }

  @Test
  void leaseIsExtendedWhileEndsAwaitTheirCommit() {
    start(false);
    long renewals = 0;
    for (int i = 0; i < 40; i++) {
      renewals += reportDone().stream().filter(a -> a instanceof Action.Renew).count();
      nowMillis += 100;
    }
    assertTrue(renewals >= 10, renewals + " renewals in 4 s");
  }

  /** Reports that the run is done, advances the dispatcher and returns its actions. */
  private List<Action> reportDone() {
    List<ListedEnd> ends = List.of(new ListedEnd(1, new RunEnd(RUN, EndKind.DONE, "")));
    dispatcher.renewed(
        TARGET, nowMillis, WorkerReport.complete(1, nowMillis + 1, List.of(), ends), nowMillis);
    return tick();
  }

  private static int countProposedEnds(List<Action> actions) {
    return (int)
        actions.stream()
            .filter(a -> a instanceof Action.Propose p && p.command() instanceof NoteEnds)
            .count();
  }
}
