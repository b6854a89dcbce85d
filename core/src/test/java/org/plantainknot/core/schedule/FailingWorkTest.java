package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.EndKind;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.RunEnd;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.WorkerIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that failures limit the work of workers that fail, and of them only. */
public class FailingWorkTest {

  private static final long STEP_MILLIS = 100;
  private static final long REPORT_MILLIS = 500;
  private static final int JOBS = 25;
  private static final int TASKS_PER_JOB = 8;
  private static final int WORKERS = 2;

  /** Time within which a persistent task has to be at work again while there is room for it. */
  private static final long MAX_AWAY_MILLIS = 6_000;

  /** State of a run on a worker; a persistent one is at 100% from its start. */
  private record Running(long sinceMillis, boolean persistent) {}

  private LeaderFixture leader;
  private final Map<WorkerIncarnation, Map<RunId, Running>> running = new LinkedHashMap<>();
  private final Map<WorkerIncarnation, List<ListedEnd>> ends = new HashMap<>();
  private final Map<WorkerIncarnation, Long> endCounts = new HashMap<>();
  private int largestStart;

  @BeforeMethod
  void startWorkers() {
    leader = new LeaderFixture("s");
    running.clear();
    ends.clear();
    endCounts.clear();
    largestStart = 0;
    for (int i = 0; i < WORKERS; i++) {
      leader.addWorker("w" + i, "s");
      WorkerIncarnation worker = new WorkerIncarnation("w" + i, 1);
      running.put(worker, new LinkedHashMap<>());
      ends.put(worker, new ArrayList<>());
    }
  }

  /** Guards against work that is not restarted once some runs have failed on each worker. */
  @Test
  void persistentTasksAreRestartedHoweverManyHaveFailedOnEachWorker() {
    for (int i = 0; i < JOBS; i++) {
      leader.submit("j" + i, "s", LeaderFixture.step(TASKS_PER_JOB, 60).persistent(true).build());
    }
    advance(6_000);
    int tasks = JOBS * TASKS_PER_JOB;
    assertEquals(countRunning(), tasks);
    for (int failure = 0; failure < 20; failure++) {
      WorkerIncarnation worker = new WorkerIncarnation("w" + failure % WORKERS, 1);
      end(worker, running.get(worker).keySet().iterator().next(), EndKind.FAILED);
      advance(2_000);
      if (failure >= MAX_AWAY_MILLIS / 2_000) {
        assertTrue(countRunning() >= tasks - MAX_AWAY_MILLIS / 2_000, countRunning() + " run");
      }
    }
    advance(MAX_AWAY_MILLIS - 2_000);
    assertEquals(countRunning(), tasks);
  }

  @Test
  void aWorkerOnWhichAllWorkFailsGetsOneRunAtATime() {
    for (int i = 0; i < JOBS; i++) {
      leader.submit("j" + i, "s", LeaderFixture.step(TASKS_PER_JOB, 1_000).build());
    }
    advance(STEP_MILLIS);
    for (int i = 0; i < 10; i++) {
      running.keySet().forEach(this::failAll);
      advance(REPORT_MILLIS);
    }
    largestStart = 0;
    for (int i = 0; i < 100; i++) {
      running.keySet().forEach(this::failAll);
      advance(REPORT_MILLIS);
    }
    assertTrue(largestStart <= 1, largestStart + " runs were started on a failing worker at once");
  }

  /** Guards against long work that keeps others off its worker until it is done. */
  @Test
  void longRunsThatMakeProgressEndTheProbationOfTheirWorkers() {
    leader.submit("j", "s", LeaderFixture.step(32, 1_000).estimateMillis(600_000).build());
    advance(STEP_MILLIS);
    running.keySet().forEach(this::failAll);
    advance(12_000);
    assertEquals(countRunning(), 32);
  }

  /** Guards against gangs that never start, since probation has room for one run only. */
  @Test
  void gangsAreStartedAgainAfterFailuresOnEachWorker() {
    StepSpec gang = LeaderFixture.step(32, 1_000).gang(true).persistent(true).build();
    leader.submit("j", "s", gang);
    advance(STEP_MILLIS);
    running.keySet().forEach(this::failAll);
    advance(9_000);
    assertEquals(countRunning(), 32);
  }

  private void failAll(WorkerIncarnation worker) {
    List.copyOf(running.get(worker).keySet()).forEach(run -> end(worker, run, EndKind.FAILED));
  }

  private void end(WorkerIncarnation worker, RunId run, EndKind kind) {
    running.get(worker).remove(run);
    long number = endCounts.merge(worker, 1L, Long::sum);
    ends.get(worker).add(new ListedEnd(number, new RunEnd(run, kind, "")));
  }

  private int countRunning() {
    return running.values().stream().mapToInt(Map::size).sum();
  }

  private void advance(long millis) {
    long endMillis = leader.nowMillis + millis;
    while (leader.nowMillis < endMillis) {
      leader.nowMillis += STEP_MILLIS;
      if (leader.nowMillis % REPORT_MILLIS == 0) {
        running.keySet().forEach(this::report);
      }
      leader.dispatcher.tick(leader.nowMillis);
      start(leader.planAndAssign());
      leader.dispatcher.drain().forEach(this::commit);
    }
  }

  private void start(List<Assignment> assignments) {
    Map<WorkerIncarnation, Integer> started = new HashMap<>();
    for (Assignment assignment : assignments) {
      WorkerIncarnation worker = assignment.worker();
      boolean persistent = leader.ledger.task(assignment.run().task()).step().persistent();
      running.get(worker).put(assignment.run(), new Running(leader.nowMillis, persistent));
      largestStart = Math.max(largestStart, started.merge(worker, 1, Integer::sum));
      OrderAnswer accepted = new OrderAnswer(CallOutcome.ACCEPTED, leader.nowMillis);
      leader.dispatcher.started(target(worker), assignment.run(), accepted, leader.nowMillis);
    }
  }

  private void report(WorkerIncarnation worker) {
    List<ListedRun> listed = new ArrayList<>();
    running
        .get(worker)
        .forEach((run, state) -> listed.add(new ListedRun(run, "", percent(state), 0)));
    WorkerReport report =
        WorkerReport.complete(1, leader.nowMillis, listed, List.copyOf(ends.get(worker)));
    leader.dispatcher.renewed(target(worker), leader.nowMillis, report, leader.nowMillis);
  }

  private double percent(Running run) {
    long sinceMillis = leader.nowMillis - run.sinceMillis();
    return run.persistent() ? 100 : sinceMillis / 6_000.0;
  }

  private void commit(Action action) {
    if (action instanceof Action.Propose propose) {
      leader.ledger.apply(leader.nowMillis, propose.command());
      leader.dispatcher.applied(propose.command(), leader.nowMillis);
      if (propose.command() instanceof JobCommand.NoteEnds note) {
        ends.get(note.worker()).removeIf(end -> end.number() <= note.lastEnd());
      }
    }
  }

  private static WorkerTarget target(WorkerIncarnation worker) {
    return new WorkerTarget(worker, worker.worker() + ":1");
  }
}
