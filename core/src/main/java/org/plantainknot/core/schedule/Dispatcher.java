package org.plantainknot.core.schedule;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.EndKind;
import org.plantainknot.core.job.Job;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobCommand.Assign;
import org.plantainknot.core.job.JobCommand.GiveUpRuns;
import org.plantainknot.core.job.JobCommand.NoteEnds;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.RunEnd;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.Task;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.schedule.TrackedRun.Phase;

/**
 * Executes committed assignments during one leader term: starts and stops runs, renews worker
 * leases and collects the ends of runs.
 *
 * <p>A run is started only after its assignment is committed, and a worker discards the end of a
 * run only after that end is committed. A task becomes free for another run only when the current
 * run is guaranteed not to execute now or later: its end is committed, the worker refused it, the
 * worker's lease expired even on the slowest permitted clock, or the worker restarted under a new
 * incarnation. Not thread-safe.
 */
public final class Dispatcher {

  private static final long SUSPECT_BLOCK_MILLIS = 2_000;
  private static final long NO_ROOM_BLOCK_MILLIS = 300;
  private static final long RENEW_RETRY_MILLIS = 200;

  /** Pause between renewals while ends await their commit, since they are answered at once. */
  private static final long COMMIT_WAIT_MILLIS = 300;

  private final JobLedger ledger;
  private final WorkerDirectory directory;
  private final DispatchTiming timing;
  private final WorkerSessions sessions;
  private final Advisor advisor;
  private final ActionQueue actionQueue;
  private final EndProposer endProposer;
  private final RunTable runs = new RunTable();
  private final LostRuns lostRuns;
  private final DurationEstimator durationEstimator = new DurationEstimator();
  private final DurationRecorder durationRecorder;

  /** Creates a dispatcher that adopts the runs assigned in the replicated job state. */
  public Dispatcher(
      JobLedger ledger,
      WorkerDirectory directory,
      DispatchTiming timing,
      long term,
      long nowMillis) {
    this.ledger = ledger;
    this.directory = directory;
    this.timing = timing;
    this.sessions = new WorkerSessions(directory, timing, nowMillis);
    this.advisor = new Advisor(ledger);
    this.actionQueue = new ActionQueue(ledger, sessions, timing, advisor, term);
    this.endProposer = new EndProposer(ledger, actionQueue);
    this.lostRuns = new LostRuns(runs, sessions, actionQueue);
    this.durationRecorder = new DurationRecorder(ledger, durationEstimator);
    for (Task task : ledger.assignedTasks()) {
      runs.add(new TrackedRun(task, task.worker(), Phase.ADOPTED, nowMillis));
    }
  }

  /** Removes and returns the actions queued since the last call. */
  public List<Action> drain() {
    return actionQueue.drain();
  }

  /** Returns the runs that may be running on an incarnation of a worker. */
  List<TrackedRun> runsOn(WorkerIncarnation incarnation) {
    return runs.on(incarnation);
  }

  /** Calls the consumer with each run that may be running on an incarnation of a worker. */
  void forEachRunOn(WorkerIncarnation incarnation, Consumer<TrackedRun> consumer) {
    runs.forEachOn(incarnation, consumer);
  }

  /** Returns whether any run may be running on an incarnation of a worker. */
  boolean hasRunsOn(WorkerIncarnation incarnation) {
    return runs.hasRunsOn(incarnation);
  }

  /** Returns the workers on which runs may be, whichever of their incarnations. */
  Set<String> workersWithRuns() {
    return runs.workers();
  }

  /** Returns whether an incarnation has answered recently. */
  boolean isAnswering(WorkerIncarnation incarnation, long nowMillis) {
    return sessions.isAnswering(session(incarnation), nowMillis);
  }

  /** Returns the estimator of task durations. */
  DurationEstimator durationEstimator() {
    return durationEstimator;
  }

  /** Returns the advisor that requests tickets. */
  public Advisor advisor() {
    return advisor;
  }

  /** Returns the leader's view of a worker incarnation, built from its answers. */
  WorkerSession session(WorkerIncarnation incarnation) {
    return sessions.of(incarnation);
  }

  /** Returns whether a worker may be assigned new runs. */
  boolean isUsable(WorkerHeartbeat worker, long nowMillis) {
    WorkerSession session = session(worker.life());
    return worker.phase() == WorkerPhase.READY
        && !session.hasEnded()
        && !session.isDoubted()
        && !session.isBlocked(nowMillis)
        && !sessions.mayDiscardEnds(session, nowMillis)
        && sessions.isFresh(session, nowMillis);
  }

  /** Advances to the given time: renews leases, retries orders and gives up lost runs. */
  public void tick(long nowMillis) {
    sessions.tick(nowMillis);
    for (WorkerHeartbeat worker : directory.all()) {
      renewIfDue(worker, nowMillis);
    }
    lostRuns.giveUpLost(nowMillis);
    for (WorkerIncarnation incarnation : runs.incarnations()) {
      advanceRuns(incarnation, nowMillis);
    }
  }

  /** Reacts to a command that was applied to the replicated job state. */
  public void applied(JobCommand command, long nowMillis) {
    if (command instanceof Assign assign) {
      assign.assignments().forEach(assignment -> onAssigned(assignment, nowMillis));
    } else if (command instanceof NoteEnds note) {
      onEndsCommitted(note, nowMillis);
    } else if (command instanceof GiveUpRuns giveUp) {
      giveUp.runs().forEach(runs::remove);
    }
  }

  /** Handles a worker's answer to a renewal that was sent at the given time. */
  public void renewed(WorkerTarget target, long sentAtMillis, WorkerReport report, long nowMillis) {
    WorkerSession session = session(target.life());
    session.renewDone(nowMillis);
    if (report.bornMillis() != target.life().bornMillis()) {
      session.markRestarted(nowMillis);
      directory.recordRestart(new WorkerIncarnation(target.life().worker(), report.bornMillis()));
      return;
    }
    if (!session.recordReport(report, sentAtMillis, nowMillis)) {
      return;
    }
    report.running().forEach(listed -> onListedRunning(target, listed, nowMillis));
    report.ended().forEach(listed -> onListedEnd(listed, nowMillis));
    endProposer.proposeNew(session, report, nowMillis);
    lostRuns.resolveRuledOut(session, sentAtMillis, nowMillis);
  }

  /** Handles the failure of a renewal. */
  public void renewalFailed(WorkerTarget target, CallOutcome outcome, long nowMillis) {
    WorkerSession session = session(target.life());
    session.renewFailed(outcome, nowMillis + RENEW_RETRY_MILLIS);
    if (outcome == CallOutcome.OTHER_LIFE) {
      session.markEnded();
    } else if (outcome == CallOutcome.NO_ANSWER) {
      sessions.renewalLost(session);
    }
  }

  /** Handles the outcome of a start order. */
  public void started(WorkerTarget target, RunId runId, OrderAnswer answer, long nowMillis) {
    CallOutcome outcome = answer.outcome();
    TrackedRun run = runs.find(runId);
    session(target.life()).updateClock(answer.clockMillis(), nowMillis);
    if (run == null) {
      return;
    }
    run.answered(nowMillis);
    if (outcome.isRefused() || outcome == CallOutcome.ACCEPTED) {
      run.startResolved();
    }
    if (run.phase() != Phase.STARTING) {
      return;
    }
    WorkerSession session = session(target.life());
    switch (outcome) {
      case ACCEPTED -> {
        run.startAccepted(nowMillis);
        run.enter(Phase.RUNNING, nowMillis);
      }
      case OLD -> run.enter(Phase.STOPPED, nowMillis);
      case OTHER_LIFE -> session.markEnded();
      case NO_TICKET -> {
        advisor.refused(runId.task().stepId(), target.life());
        lostRuns.giveUpOrFence(run, nowMillis);
      }
      case NO_ROOM, UNHEALTHY, INVALID -> {
        boolean full = outcome == CallOutcome.NO_ROOM;
        session.blockUntil(nowMillis + (full ? NO_ROOM_BLOCK_MILLIS : SUSPECT_BLOCK_MILLIS));
        lostRuns.giveUpOrFence(run, nowMillis);
      }
      default -> suspectAfterRetries(run, session, nowMillis);
    }
  }

  /** Handles the outcome of a stop order. */
  public void stopped(RunId runId, CallOutcome outcome, long nowMillis) {
    TrackedRun run = runs.find(runId);
    if (run == null) {
      return;
    }
    run.answered(nowMillis);
    if (run.phase() != Phase.STOPPING) {
      return;
    }
    if (outcome == CallOutcome.ACCEPTED || outcome == CallOutcome.OLD) {
      run.enter(Phase.STOPPED, nowMillis);
      session(run.incarnation()).renewSoon();
    }
  }

  /**
   * Takes an incarnation out of use because its machine was taken down. It is called again only
   * after a further heartbeat of it, and in use again once it answers.
   */
  void machineTakenDown(WorkerIncarnation incarnation, long nowMillis) {
    long lastSequence =
        directory
            .find(incarnation.worker())
            .filter(worker -> worker.life().equals(incarnation))
            .map(WorkerHeartbeat::sequence)
            .orElse(Long.MIN_VALUE);
    session(incarnation).doubt(lastSequence, nowMillis);
  }

  /** Stops a run; its task becomes free when the end is committed. */
  void stop(TrackedRun run, long nowMillis) {
    if (!run.isEnding()) {
      run.enter(Phase.STOPPING, nowMillis);
      advanceRun(run, nowMillis);
    }
  }

  /** Returns whether a persistent task runs at 100%, according to a recent report of its worker. */
  boolean isOperational(Task task, long nowMillis) {
    TrackedRun run = runs.find(task.runId());
    return run != null
        && run.phase() == Phase.RUNNING
        && run.isAtFullPercent()
        && sessions.isAnswering(session(run.incarnation()), nowMillis);
  }

  void enqueue(Action action) {
    actionQueue.enqueue(action);
  }

  void propose(JobCommand command) {
    actionQueue.propose(command);
  }

  private void renewIfDue(WorkerHeartbeat worker, long nowMillis) {
    WorkerSession session = session(worker.life());
    boolean mayAnswer = !session.hasEnded() && session.mayAnswerAfter(worker.sequence());
    if (!mayAnswer || !session.isRenewDue(nowMillis)) {
      return;
    }
    boolean waitsForCommit =
        endProposer.isCommitPending(session)
            && nowMillis - session.renewSentAtMillis() < COMMIT_WAIT_MILLIS;
    if (waitsForCommit) {
      return;
    }
    session.calledAfter(worker.sequence());
    actionQueue.renew(worker, session, nowMillis);
  }

  /**
   * Stops stalled runs and, on a worker that is draining, persistent runs; then sends the orders
   * that are due. On a worker that has left nothing runs that a stop could end.
   */
  private void advanceRuns(WorkerIncarnation incarnation, long nowMillis) {
    WorkerSession session = session(incarnation);
    boolean answering = sessions.isAnswering(session, nowMillis);
    boolean draining = isIn(WorkerPhase.DRAINING, incarnation);
    for (TrackedRun run : runs.on(incarnation)) {
      boolean running = run.phase() == Phase.RUNNING;
      boolean stalled = running && answering && StallTimeout.hasStalled(run, nowMillis);
      if (stalled) {
        session.failures().runFailed(nowMillis);
      }
      if (stalled || (running && draining && run.task().step().persistent())) {
        run.enter(Phase.STOPPING, nowMillis);
      }
      advanceRun(run, nowMillis);
    }
  }

  /** Returns whether the worker accepts no new work. */
  private boolean isUnwilling(WorkerIncarnation incarnation) {
    return directory.find(incarnation.worker()).isPresent()
        && !isIn(WorkerPhase.READY, incarnation);
  }

  private boolean isIn(WorkerPhase phase, WorkerIncarnation incarnation) {
    return directory
        .find(incarnation.worker())
        .filter(worker -> worker.phase() == phase)
        .isPresent();
  }

  /** Stops a run that can't be of use any more, and sends or retries its pending order when due. */
  private void advanceRun(TrackedRun run, long nowMillis) {
    if (!run.isEnding() && isObsolete(run)) {
      run.enter(Phase.STOPPING, nowMillis);
    }
    if (!run.isOrderDue(nowMillis, timing.retryMillis())) {
      return;
    }
    if (run.phase() == Phase.STARTING && isUnwilling(run.incarnation())) {
      lostRuns.giveUpOrFence(run, nowMillis);
    }
    if (run.phase() == Phase.STARTING) {
      actionQueue.start(run, nowMillis);
    } else if (run.phase() == Phase.STOPPING) {
      actionQueue.stop(run, nowMillis);
    }
  }

  /** Returns whether the run's job has ended, or the run is the rest of a gang. */
  private boolean isObsolete(TrackedRun run) {
    Job job = ledger.job(run.id().task().job()).orElse(null);
    return job == null || job.status().isEnded() || isRestOfGang(run, job);
  }

  /**
   * Returns whether another member of the run's gang waits for a worker. The members of a gang are
   * assigned together, so the run of that member has ended, and this one can't work without it.
   */
  private static boolean isRestOfGang(TrackedRun run, Job job) {
    TaskId task = run.id().task();
    return run.task().step().gang() && job.countWaiting(task.occurrence(), task.step()) > 0;
  }

  private void onAssigned(Assignment assignment, long nowMillis) {
    Task task = ledger.task(assignment.run().task());
    boolean valid =
        task != null
            && task.runId().equals(assignment.run())
            && assignment.worker().equals(task.worker())
            && runs.find(assignment.run()) == null;
    if (valid) {
      TrackedRun run = new TrackedRun(task, assignment.worker(), Phase.STARTING, nowMillis);
      runs.add(run);
      advanceRun(run, nowMillis);
    }
  }

  private void onEndsCommitted(NoteEnds note, long nowMillis) {
    WorkerSession session = session(note.worker());
    for (RunEnd end : note.ends()) {
      TrackedRun run = runs.remove(end.run());
      if (run != null) {
        durationRecorder.record(run, end);
      }
      if (end.kind() == EndKind.DONE) {
        session.failures().runDone();
      } else if (end.kind() == EndKind.FAILED && !isOwnFault(run, nowMillis)) {
        session.failures().runFailed(nowMillis);
      }
    }
    session.renewSoon();
  }

  /** Returns whether a run that failed had been at work, so that its worker is not to blame. */
  private static boolean isOwnFault(TrackedRun run, long nowMillis) {
    return run != null && run.task().step().persistent() && run.isProven(nowMillis);
  }

  private void onListedRunning(WorkerTarget target, ListedRun listed, long nowMillis) {
    TrackedRun run = runs.find(listed.run());
    if (run == null || run.isBeingGivenUp()) {
      actionQueue.stopUnexpected(target, listed);
      return;
    }
    if (run.incarnation().isEarlierThan(target.life())) {
      runs.moveTo(run, target.life());
    }
    if (!run.incarnation().equals(target.life())) {
      actionQueue.stopUnexpected(target, listed);
      return;
    }
    run.recordProgress(listed.percent(), nowMillis);
    if (run.phase() == Phase.ADOPTED || run.phase() == Phase.STARTING) {
      run.enter(Phase.RUNNING, nowMillis);
    }
    if (run.isProven(nowMillis)) {
      session(target.life()).failures().runProven(run.phaseAtMillis());
    }
  }

  private void onListedEnd(ListedEnd listed, long nowMillis) {
    TrackedRun run = runs.find(listed.end().run());
    if (run != null) {
      run.endListed(nowMillis);
    }
  }

  private void suspectAfterRetries(TrackedRun run, WorkerSession session, long nowMillis) {
    if (run.isRetryLimitReached()) {
      session.blockUntil(nowMillis + SUSPECT_BLOCK_MILLIS);
      run.enter(Phase.STOPPING, nowMillis);
    }
  }
}
