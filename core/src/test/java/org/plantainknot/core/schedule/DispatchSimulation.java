package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.plantainknot.core.job.AdviceTerms;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.FleetConfig;
import org.plantainknot.core.job.Job;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.JobStatus;
import org.plantainknot.core.job.QueueConfig;
import org.plantainknot.core.job.Schedule;
import org.plantainknot.core.job.ServiceConfig;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;

/**
 * A dispatcher with its planner, on simulated workers that crash, become unresponsive, lose answers
 * or execute orders late, and with leaders that are replaced.
 */
final class DispatchSimulation {

  private static final int WORKERS = 4;
  private static final int JOBS = 25;
  private static final long FAULTS_END_MILLIS = 30_000;
  private static final long END_MILLIS = 90_000;
  private static final long COMMIT_MILLIS = 12;
  private static final long SLOW_COMMIT_MILLIS = 4_000;
  private static final int MAX_OCCURRENCES = 4;
  private static final long MAX_INTERVAL_MILLIS = 2_000;
  private static final Resources CAPACITY = new Resources(8_000, 16_000, 0);

  private record Event(long atMillis, long order, Runnable task) {}

  /** Whether commits take seconds. */
  boolean commitsSlowly;

  /** How many ends a worker lists in one report. */
  int maxListedEnds = Integer.MAX_VALUE;

  /** Whether jobs have several occurrences, and leaders start from snapshots. */
  boolean schedulesJobs;

  /** Whether departures of earlier lives of the workers arrive late. */
  boolean departuresComeLate;

  private final List<JobCommand> uncommitted = new ArrayList<>();
  private SplittableRandom random;
  private PriorityQueue<Event> events;
  private long order;
  private long nowMillis;
  private JobLedger ledger;
  private WorkerDirectory directory;
  private Dispatcher dispatcher;
  private Planner planner;
  private long term;
  private long lastCommitAtMillis;
  private DispatchOracle oracle;
  private List<FakeWorker> workers;
  private Map<String, Long> unresponsiveUntilMillis;
  private Set<String> cancelled;
  private List<JobSpec> jobs;

  /** Runs a seed to the end of the faults and on until all jobs should be done. */
  void runToCompletion(int seed) {
    reset(seed);
    while (!events.isEmpty() && nowMillis < END_MILLIS) {
      Event event = events.remove();
      nowMillis = event.atMillis();
      event.task().run();
      executeActions();
    }
    for (JobSpec job : jobs) {
      JobStatus status = ledger.job(job.id()).map(Job::status).orElseThrow();
      if (cancelled.contains(job.id())) {
        continue;
      }
      assertEquals(status, JobStatus.COMPLETED, "seed " + seed + " " + unfinished(job));
      oracle.assertCompleted(job);
    }
    assertEquals(ledger.assignedTasks().size(), 0, "seed " + seed);
  }

  private String unfinished(JobSpec job) {
    return ledger.job(job.id()).orElseThrow().createdTasks().stream()
        .filter(task -> !task.isDone())
        .map(task -> task.runId() + " on " + task.worker())
        .toList()
        .toString();
  }

  private void reset(int seed) {
    random = new SplittableRandom(seed);
    uncommitted.clear();
    events =
        new PriorityQueue<>(
            Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    nowMillis = 0;
    order = 0;
    term = 0;
    lastCommitAtMillis = 0;
    ledger = new JobLedger();
    directory = new WorkerDirectory();
    oracle = new DispatchOracle();
    workers = new ArrayList<>();
    unresponsiveUntilMillis = new HashMap<>();
    cancelled = new HashSet<>();
    jobs = new ArrayList<>();
    QueueConfig queue =
        new QueueConfig("q", "h", "/q/", "s", 0, 1_000, 2, 1_000, 3_000, AdviceTerms.NONE);
    FleetConfig config =
        new FleetConfig(1, List.of(queue), List.of(new ServiceConfig("s", false)), "{}");
    ledger.apply(0, new JobCommand.PutConfig(config));
    for (int i = 0; i < WORKERS; i++) {
      FakeWorker worker = new FakeWorker("a" + i, CAPACITY, List.of("a", "r" + i % 2), oracle);
      worker.setMaxListedEnds(maxListedEnds);
      worker.startIncarnation("w" + i + "-0", nowMillis);
      workers.add(worker);
      every(1_500, i, () -> directory.recordHeartbeat(worker.heartbeat(), nowMillis));
    }
    elect();
    every(20, 0, () -> dispatcher.tick(nowMillis));
    every(10, 5, this::advanceAll);
    for (int i = 0; i < JOBS; i++) {
      JobSpec plain = RandomJobs.next(random, "j" + i);
      JobSpec job = schedulesJobs ? withSchedule(plain) : plain;
      jobs.add(job);
      at(random.nextLong(FAULTS_END_MILLIS), () -> submit(job));
    }
    for (int i = 0; i < 12; i++) {
      at(random.nextLong(2_000, FAULTS_END_MILLIS), this::injectFault);
    }
  }

  private JobSpec withSchedule(JobSpec job) {
    Schedule schedule =
        new Schedule(
            random.nextInt(1, MAX_OCCURRENCES + 1),
            random.nextLong(FAULTS_END_MILLIS),
            random.nextLong(MAX_INTERVAL_MILLIS));
    return new JobSpec(job.id(), job.queue(), job.payload(), job.steps(), schedule);
  }

  private void submit(JobSpec job) {
    oracle.submitted(job);
    ledger.apply(nowMillis, new JobCommand.Submit(job));
    if (random.nextInt(5) == 0) {
      at(
          nowMillis + random.nextLong(4_000),
          () -> {
            cancelled.add(job.id());
            JobCommand cancel = new JobCommand.Cancel(job.id());
            ledger.apply(nowMillis, cancel);
            dispatcher.applied(cancel, nowMillis);
            oracle.cancelled(job.id(), nowMillis);
          });
    }
  }

  private void injectFault() {
    int index = random.nextInt(WORKERS);
    FakeWorker worker = workers.get(index);
    if (departuresComeLate) {
      directory.recordDeparture(worker.incarnation().worker(), nowMillis);
    }
    switch (random.nextInt(4)) {
      case 0 -> unresponsiveUntilMillis.put("a" + index, nowMillis + random.nextLong(500, 12_000));
      case 1 -> worker.startIncarnation("w" + index + "-" + nowMillis, nowMillis);
      case 2 -> worker.startIncarnation(worker.incarnation().worker(), nowMillis);
      default -> elect();
    }
  }

  /**
   * Replaces the leader. The new leader knows the committed state but none of its predecessor's
   * orders in flight; a random prefix of the predecessor's proposals is committed.
   */
  private void elect() {
    term++;
    int committed = random.nextInt(uncommitted.size() + 1);
    List.copyOf(uncommitted).subList(0, committed).forEach(this::apply);
    uncommitted.clear();
    if (schedulesJobs) {
      ledger.restore(ledger.image());
    }
    dispatcher =
        new Dispatcher(
            ledger,
            directory,
            new DispatchTiming(6_000, 1_000, 400, 900, 3_000, 2_000, 4_500),
            term,
            nowMillis);
    planner = new Planner(ledger, directory, dispatcher);
  }

  private void advanceAll() {
    workers.forEach(worker -> worker.advance(nowMillis));
    List<Assignment> planned = planner.plan(nowMillis, nowMillis);
    if (!planned.isEmpty()) {
      commit(new JobCommand.Assign(planned));
    }
  }

  private void executeActions() {
    for (Action action : dispatcher.drain()) {
      if (action instanceof Action.Propose propose) {
        commit(propose.command());
      } else {
        call(action);
      }
    }
  }

  private void commit(JobCommand command) {
    uncommitted.add(command);
    lastCommitAtMillis = Math.max(lastCommitAtMillis, nowMillis + commitMillis());
    at(
        lastCommitAtMillis,
        () -> {
          if (uncommitted.remove(command)) {
            apply(command);
          }
        });
  }

  private long commitMillis() {
    boolean slow = commitsSlowly && nowMillis < FAULTS_END_MILLIS && random.nextInt(30) == 0;
    return slow ? random.nextLong(SLOW_COMMIT_MILLIS) : COMMIT_MILLIS;
  }

  private void apply(JobCommand command) {
    ledger.apply(nowMillis, command);
    if (command instanceof JobCommand.Assign assign) {
      planner.assignmentsApplied(assign.assignments());
    }
    dispatcher.applied(command, nowMillis);
  }

  /** Sends a call that may be lost or be executed seconds late, in both cases without an answer. */
  private void call(Action action) {
    Dispatcher sender = dispatcher;
    long sentAtMillis = nowMillis;
    int index = workerIndex(action);
    boolean unresponsive = unresponsiveUntilMillis.getOrDefault("a" + index, 0L) > nowMillis;
    int fault = unresponsive ? 0 : random.nextInt(40);
    if (fault == 0) {
      at(nowMillis + 700, () -> answer(sender, action, sentAtMillis, null));
    } else if (fault == 1 && nowMillis < FAULTS_END_MILLIS) {
      performLate(index, action);
      at(nowMillis + 700, () -> answer(sender, action, sentAtMillis, null));
    } else {
      at(
          nowMillis + random.nextLong(1, 4),
          () -> {
            Object result = perform(index, action);
            at(
                nowMillis + random.nextLong(1, 4),
                () -> answer(sender, action, sentAtMillis, result));
          });
    }
  }

  /** Executes an order late, unless the incarnation that received it has ended by then. */
  private void performLate(int index, Action action) {
    WorkerIncarnation incarnation = workers.get(index).incarnation();
    at(
        nowMillis + random.nextLong(1_000, 12_000),
        () -> {
          if (workers.get(index).incarnation().equals(incarnation)) {
            oracle.setExecutesLateOrder(true);
            perform(index, action);
            oracle.setExecutesLateOrder(false);
          }
        });
  }

  private Object perform(int index, Action action) {
    FakeWorker worker = workers.get(index);
    if (action instanceof Action.Renew renew) {
      return worker.renew(renew, nowMillis);
    } else if (action instanceof Action.Start start) {
      boolean fails = random.nextInt(15) == 0;
      return worker.start(start, random.nextLong(100, 3_000), fails, nowMillis);
    }
    return worker.stop((Action.Stop) action, nowMillis);
  }

  private void answer(Dispatcher sender, Action action, long sentAtMillis, Object result) {
    if (sender != dispatcher) {
      return;
    }
    if (action instanceof Action.Renew renew) {
      if (result instanceof WorkerReport report) {
        at(
            nowMillis + 2,
            () -> {
              if (sender == dispatcher) {
                dispatcher.renewed(renew.target(), sentAtMillis, report, nowMillis);
              }
            });
      } else {
        dispatcher.renewalFailed(renew.target(), CallOutcome.NO_ANSWER, nowMillis);
      }
    } else if (action instanceof Action.Start start) {
      OrderAnswer answer =
          result == null
              ? OrderAnswer.NONE
              : new OrderAnswer(
                  (CallOutcome) result, workers.get(workerIndex(action)).clock(nowMillis));
      dispatcher.started(start.target(), start.run(), answer, nowMillis);
    } else if (action instanceof Action.Stop stop) {
      dispatcher.stopped(stop.run(), outcome(result), nowMillis);
    }
  }

  private static CallOutcome outcome(Object result) {
    return result == null ? CallOutcome.NO_ANSWER : (CallOutcome) result;
  }

  private static int workerIndex(Action action) {
    WorkerTarget target =
        action instanceof Action.Renew renew
            ? renew.target()
            : action instanceof Action.Start start
                ? start.target()
                : ((Action.Stop) action).target();
    return Integer.parseInt(target.address().substring(1));
  }

  private void at(long atMillis, Runnable task) {
    events.add(new Event(atMillis, order++, task));
  }

  private void every(long intervalMillis, long firstMillis, Runnable task) {
    at(
        firstMillis,
        () -> {
          task.run();
          every(intervalMillis, nowMillis + intervalMillis, task);
        });
  }
}
