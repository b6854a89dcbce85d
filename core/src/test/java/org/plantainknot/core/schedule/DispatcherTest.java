package org.plantainknot.core.schedule;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.WorkerIncarnation;
import org.testng.annotations.Test;

/** Tests runs that stall, and runs on workers that become unresponsive or leave. */
public class DispatcherTest extends DispatcherFixture {

  @Test
  void runOfAnUnresponsiveWorkerIsGivenUpAfterItsLeaseExpires() {
    start(false);
    reportRunning();
    double maxMillis = (TIMING.leaseMillis() + 1_700) / DispatchTiming.SLOWEST_CLOCK + 200;
    long givenUpAtMillis = runUntilGivenUp(CallOutcome.NO_ANSWER, (long) maxMillis);
    assertTrue(givenUpAtMillis > TIMING.leaseMillis(), "at " + givenUpAtMillis);
  }

  @Test
  void runOfAWorkerThatIsSilentForLessThanItsLeaseIsNeitherStoppedNorGivenUp() {
    start(false);
    reportRunning();
    long silentUntilMillis = nowMillis + TIMING.leaseMillis() - 1_500;
    while (nowMillis < silentUntilMillis) {
      nowMillis += STEP_MILLIS;
      for (Action action : tick()) {
        assertTrue(action instanceof Action.Renew, action.toString());
        dispatcher.renewalFailed(TARGET, CallOutcome.NO_ANSWER, nowMillis);
      }
    }
    percent = 50;
    reportRunning();
    List<Action> actions = tick();
    assertFalse(stops(actions) || givesUp(actions) || starts(actions), actions.toString());
  }

  @Test
  void runOfADepartedWorkerThatNoLongerListensIsGivenUpBeforeItsLeaseExpires() {
    start(false);
    reportRunning();
    directory.recordDeparture("w", nowMillis);
    long givenUpAtMillis = runUntilGivenUp(CallOutcome.NO_LISTENER, 1_500);
    assertTrue(givenUpAtMillis >= 1_000, "at " + givenUpAtMillis);
  }

  /** Guards against work that runs twice because a departure of an earlier life arrives late. */
  @Test
  void runOfAnUnresponsiveWorkerIsGivenUpOnlyAfterItsLeaseExpiresAlthoughADepartureArrived() {
    start(false);
    reportRunning();
    directory.recordDeparture("w", nowMillis);
    double maxMillis = (TIMING.leaseMillis() + 1_700) / DispatchTiming.SLOWEST_CLOCK + 200;
    long givenUpAtMillis = runUntilGivenUp(CallOutcome.NO_ANSWER, (long) maxMillis);
    assertTrue(givenUpAtMillis > TIMING.leaseMillis(), "at " + givenUpAtMillis);
  }

  /** Guards against a departure of an earlier life that stops all lasting work of a worker. */
  @Test
  void persistentRunIsNotStoppedByADepartureThatArrivesLate() {
    start(true);
    percent = 100;
    reportRunning();
    directory.recordDeparture("w", nowMillis);
    for (int i = 0; i < 30; i++) {
      nowMillis += 100;
      assertFalse(stops(tick()), "after " + nowMillis + " ms");
      reportRunning();
    }
  }

  /** Guards against work that runs twice because another writer gave the address of its worker. */
  @Test
  void runIsNotGivenUpBecauseAnotherWorkerNamesTheAddressOfItsWorker() {
    start(false);
    reportRunning();
    WorkerIncarnation other = new WorkerIncarnation("agent", 1_000_000);
    directory.recordHeartbeat(heartbeat(other, WorkerPhase.READY, 1), nowMillis);
    nowMillis += STEP_MILLIS;
    List<Action> actions = reportAndTick(List.of(new ListedRun(RUN, "", 50, 0)));
    assertFalse(stops(actions) || givesUp(actions), actions.toString());
  }

  @Test
  void persistentRunIsStoppedOnADrainingWorker() {
    start(true);
    percent = 100;
    reportRunning();
    assertFalse(stops(tick()));
    directory.recordHeartbeat(heartbeat(WorkerPhase.DRAINING, 2), nowMillis);
    assertTrue(stops(tick()));
  }

  @Test
  void nonPersistentRunMayFinishOnADrainingWorker() {
    start(false);
    percent = 50;
    reportRunning();
    directory.recordHeartbeat(heartbeat(WorkerPhase.DRAINING, 2), nowMillis);
    assertFalse(stops(tick()));
  }

  @Test
  void assignmentThatIsCommittedAfterItsWorkerBeganToDrainIsNotStarted() {
    start(false);
    directory.recordHeartbeat(heartbeat(WorkerPhase.DRAINING, 2), nowMillis);
    reportAndTick(List.of());
    assign();
    List<Action> actions = reportAndTick(List.of());
    assertFalse(starts(actions));
    assertTrue(givesUp(actions));
  }

  @Test
  void startIsNotRepeatedOnceItsWorkerBeganToDrain() {
    start(false);
    assign();
    reportAndTick(List.of());
    answerStart(CallOutcome.NO_ANSWER);
    directory.recordHeartbeat(heartbeat(WorkerPhase.DRAINING, 2), nowMillis);
    nowMillis += TIMING.retryMillis();
    List<Action> actions = reportAndTick(List.of());
    assertFalse(starts(actions));
    assertTrue(stops(actions), "the first copy may still be executed");
  }

  @Test
  void stalledRunIsStopped() {
    start(false);
    percent = 7;
    boolean stopped = false;
    while (nowMillis < 4_500 && !stopped) {
      reportRunning();
      stopped = stops(tick());
      nowMillis += 100;
    }
    assertTrue(stopped);
    assertTrue(nowMillis > 4_000);
  }

  /** Guards against long work that is stopped again and again because it tells whole percent. */
  @Test
  void longRunThatTellsWholePercentIsNotStopped() {
    start(StepSpec.builder().estimateMillis(600_000));
    for (int second = 0; second < 60; second++) {
      percent = second / 6;
      reportRunning();
      assertFalse(stops(tick()), "after " + second + " s");
      nowMillis += 1_000;
    }
  }

  @Test
  void longRunWhoseEstimateIsFarTooShortIsLeftToWorkAfterSomeRuns() {
    start(StepSpec.builder().estimateMillis(1_000));
    int runs = 1;
    int workedSeconds = 0;
    for (int second = 0; second < 60; second++) {
      percent = workedSeconds++ / 6;
      reportRunning();
      if (stops(tick())) {
        workedSeconds = 0;
        assign(++runs);
      }
      nowMillis += 1_000;
    }
    assertTrue(runs <= 3, runs + " runs");
  }

  @Test
  void progressingRunIsNotStopped() {
    start(false);
    for (int i = 0; i < 100; i++) {
      percent = i / 20;
      reportRunning();
      assertFalse(stops(tick()));
      nowMillis += 100;
    }
  }
}
