package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.job.AdviceTerms;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.FleetConfig;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.QueueConfig;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.Schedule;
import org.plantainknot.core.job.ServiceConfig;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;
import org.testng.annotations.BeforeMethod;

/** A dispatcher with one run on one worker; the test advances the clock and answers for both. */
class DispatcherFixture {

  static final DispatchTiming TIMING =
      new DispatchTiming(6_000, 1_000, 400, 900, 3_000, 2_000, 4_500);
  static final WorkerIncarnation INCARNATION = new WorkerIncarnation("w", 1);
  static final WorkerTarget TARGET = new WorkerTarget(INCARNATION, "w:1");
  static final RunId RUN = new RunId(new TaskId("j", 0, 0, 0), 1);
  static final long STEP_MILLIS = 20;

  JobLedger ledger;
  WorkerDirectory directory;
  Dispatcher dispatcher;
  long nowMillis;
  double percent;
  RunId run;

  @BeforeMethod
  void createDirectory() {
    nowMillis = 0;
    percent = 0;
    run = RUN;
    ledger = new JobLedger();
    directory = new WorkerDirectory();
    directory.recordHeartbeat(heartbeat(WorkerPhase.READY, 1), 0);
  }

  void start(boolean persistent) {
    start(StepSpec.builder().persistent(persistent));
  }

  void start(StepSpec.Builder builder) {
    QueueConfig queue =
        new QueueConfig("q", "h", "/q/", "s", 0, 4, 2, 1_000, 3_000, AdviceTerms.NONE);
    FleetConfig config =
        new FleetConfig(1, List.of(queue), List.of(new ServiceConfig("s", false)), "{}");
    ledger.apply(0, new JobCommand.PutConfig(config));
    StepSpec step = builder.size(new Resources(1_000, 1, 0)).build();
    JobSpec job = new JobSpec("j", "q", "p", List.of(step), Schedule.NOW);
    ledger.apply(0, new JobCommand.Submit(job));
    ledger.apply(0, new JobCommand.Assign(List.of(new Assignment(RUN, INCARNATION))));
    dispatcher = new Dispatcher(ledger, directory, TIMING, 1, 0);
    tick();
  }

  /** Replaces the adopted run by a new one that this leader assigns. */
  void assign() {
    assign(2);
  }

  void assign(int number) {
    JobCommand.GiveUpRuns giveUp = new JobCommand.GiveUpRuns(List.of(run));
    ledger.apply(0, giveUp);
    dispatcher.applied(giveUp, nowMillis);
    run = new RunId(RUN.task(), number);
    JobCommand.Assign assign = new JobCommand.Assign(List.of(new Assignment(run, INCARNATION)));
    ledger.apply(0, assign);
    dispatcher.applied(assign, nowMillis);
  }

  /** Reports the given runs, advances the dispatcher and returns its actions. */
  List<Action> reportAndTick(List<ListedRun> running) {
    dispatcher.renewed(
        TARGET, nowMillis, WorkerReport.complete(1, nowMillis + 1, running, List.of()), nowMillis);
    nowMillis++;
    return tick();
  }

  List<Action> answerStart(CallOutcome outcome) {
    dispatcher.started(TARGET, run, new OrderAnswer(outcome, 0), nowMillis);
    return dispatcher.drain();
  }

  boolean givesUp(List<Action> actions) {
    return actions.contains(new Action.Propose(new JobCommand.GiveUpRuns(List.of(run))));
  }

  List<Action> tick() {
    dispatcher.tick(nowMillis);
    return dispatcher.drain();
  }

  void reportRunning() {
    dispatcher.renewed(
        TARGET,
        nowMillis,
        WorkerReport.complete(
            1, nowMillis + 1, List.of(new ListedRun(run, "", percent, 0)), List.of()),
        nowMillis);
    dispatcher.drain();
  }

  /** Advances the time with renewals that fail and returns when the run is given up. */
  long runUntilGivenUp(CallOutcome renewalOutcome, long timeoutMillis) {
    while (nowMillis <= timeoutMillis) {
      nowMillis += STEP_MILLIS;
      for (Action action : tick()) {
        if (action instanceof Action.Renew) {
          dispatcher.renewalFailed(TARGET, renewalOutcome, nowMillis);
        } else if (action instanceof Action.Propose propose
            && propose.command().equals(new JobCommand.GiveUpRuns(List.of(RUN)))) {
          return nowMillis;
        }
      }
    }
    throw new AssertionError("not given up within " + timeoutMillis + " ms");
  }

  static boolean stops(List<Action> actions) {
    return actions.stream().anyMatch(action -> action instanceof Action.Stop);
  }

  static boolean starts(List<Action> actions) {
    return actions.stream().anyMatch(action -> action instanceof Action.Start);
  }

  static WorkerHeartbeat heartbeat(WorkerPhase phase, long sequence) {
    return heartbeat(INCARNATION, phase, sequence);
  }

  static WorkerHeartbeat heartbeat(
      WorkerIncarnation incarnation, WorkerPhase phase, long sequence) {
    return new WorkerHeartbeat(
        incarnation,
        sequence,
        "s",
        "w:1",
        "dc",
        phase,
        5_000,
        new Resources(16_000, 32_000, 0),
        new ArrayList<>(List.of("a", "r1")),
        "m");
  }
}
