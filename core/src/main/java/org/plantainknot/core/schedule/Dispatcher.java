package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.EndKind;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobCommand.Assign;
import org.plantainknot.core.job.JobCommand.GiveUpRuns;
import org.plantainknot.core.job.JobCommand.NoteEnds;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.RunEnd;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.Task;
import org.plantainknot.core.job.WorkerLife;
import org.plantainknot.core.schedule.TrackedRun.Phase;

/**
 * Carries out assignments for one term of a leader: starts, renews, stops, and learns of ends.
 *
 * <p>A run is started only after its assignment was committed, its end is forgotten by the worker
 * only after it was committed here, and its task is free for another run only when the run surely
 * doesn't run and never will: its end was noted, the worker refused it, the worker's lease ran out
 * on the slowest clock allowed, or the worker began another life. Not thread-safe.
 */
public final class Dispatcher {

  private static final double FULL_PERCENT = 100;

  /** Time without progress after which a run stands still; the slowest work moves by a percent. */
  private static final long STANDSTILL_MILLIS = 4_000;

  private static final long SUSPECT_BLOCK_MILLIS = 2_000;
  private static final long NO_ROOM_BLOCK_MILLIS = 300;
  private static final long RENEW_RETRY_MILLIS = 200;
  private static final long COMMIT_WAIT_MILLIS = 300;

  private final JobLedger ledger;
  private final WorkerDirectory directory;
  private final DispatchTiming timing;
  private final Contacts contacts;
  private final Advisor advisor;
  private final Orders orders;
  private final RunTable runs = new RunTable();
  private final Durations durations = new Durations();

  /** Takes over what the record says may be running. */
  public Dispatcher(
      JobLedger ledger,
      WorkerDirectory directory,
      DispatchTiming timing,
      long term,
      long nowMillis) {
    this.ledger = ledger;
    this.directory = directory;
    this.timing = timing;
    this.contacts = new Contacts(directory, timing, nowMillis);
    this.advisor = new Advisor(ledger);
    this.orders = new Orders(ledger, contacts, timing, advisor, term);
    for (Task task : ledger.assignedTasks()) {
      runs.add(new TrackedRun(task, task.worker(), Phase.ADOPTED, nowMillis));
    }
  }

  /** Returns the actions that are due since the last call. */
  public List<Action> drain() {
    return orders.drain();
  }

  /** Returns the runs that may be running. */
  Collection<TrackedRun> runs() {
    return runs.all();
  }

  /** Returns the runs that may be running on a life of a worker. */
  List<TrackedRun> runsOn(WorkerLife life) {
    return runs.on(life);
  }

  /** Returns whether anything may be running on a life of a worker. */
  boolean isAnyOn(WorkerLife life) {
    return runs.isAnyOn(life);
  }

  /** Returns what was learned of the tasks' durations. */
  Durations durations() {
    return durations;
  }

  /** Returns what asks for tickets. */
  public Advisor advisor() {
    return advisor;
  }

  /** Returns what is known of a worker by talking to it. */
  Contact contact(WorkerLife life) {
    return contacts.of(life);
  }

  /** Returns whether a worker may be given new work. */
  boolean isUsable(WorkerHeartbeat worker, long nowMillis) {
    Contact contact = contact(worker.life());
    return worker.phase() == WorkerPhase.READY
        && !contact.isOver()
        && !contact.isBlocked(nowMillis)
        && contacts.isFresh(contact, nowMillis);
  }

  /** Lets time pass: renews leases, repeats orders, gives up what is surely over. */
  public void tick(long nowMillis) {
    contacts.tick(nowMillis);
    for (WorkerHeartbeat worker : directory.all()) {
      renewIfDue(worker, nowMillis);
    }
    giveUpWhatIsOver(nowMillis);
    for (WorkerLife life : runs.lives()) {
      followAll(life, nowMillis);
    }
  }

  /** Carries on after a command was applied. */
  public void applied(JobCommand command, long nowMillis) {
    if (command instanceof Assign assign) {
      assign.assignments().forEach(assignment -> onAssigned(assignment, nowMillis));
    } else if (command instanceof NoteEnds note) {
      onEndsNoted(note, nowMillis);
    } else if (command instanceof GiveUpRuns giveUp) {
      giveUp.runs().forEach(runs::remove);
    }
  }

  /** Takes a worker's answer to a renewal that was sent at the given time. */
  public void renewed(WorkerTarget target, long sentAtMillis, WorkerReport report, long nowMillis) {
    Contact contact = contact(target.life());
    contact.renewDone(nowMillis);
    if (report.bornMillis() != target.life().bornMillis()) {
      contact.markReborn(nowMillis);
      return;
    }
    if (!contact.heard(report, sentAtMillis, nowMillis)) {
      return;
    }
    report.running().forEach(listed -> onListedRunning(target, listed, nowMillis));
    proposeEnds(contact, report, nowMillis);
    settleUnlisted(contact, sentAtMillis, nowMillis);
  }

  /** Notes that a renewal failed. */
  public void renewalFailed(WorkerTarget target, CallOutcome outcome, long nowMillis) {
    Contact contact = contact(target.life());
    contact.renewFailed(nowMillis + RENEW_RETRY_MILLIS);
    if (outcome == CallOutcome.OTHER_LIFE) {
      contact.markOver();
    }
  }

  /** Takes the outcome of a start. */
  public void started(WorkerTarget target, RunId runId, OrderAnswer answer, long nowMillis) {
    CallOutcome outcome = answer.outcome();
    TrackedRun run = runs.find(runId);
    contact(target.life()).heardClock(answer.clockMillis(), nowMillis);
    if (run == null) {
      return;
    }
    run.answered(nowMillis);
    if (outcome.isRefused()) {
      run.startRefused();
    }
    if (run.phase() != Phase.STARTING) {
      return;
    }
    Contact contact = contact(target.life());
    switch (outcome) {
      case ACCEPTED -> run.enter(Phase.RUNNING, nowMillis);
      case OLD -> run.enter(Phase.STOPPED, nowMillis);
      case OTHER_LIFE -> contact.markOver();
      case NO_TICKET -> {
        advisor.refused(runId.task().stepId(), target.life());
        giveUpOrFence(run, nowMillis);
      }
      case NO_ROOM, UNHEALTHY, INVALID -> {
        boolean full = outcome == CallOutcome.NO_ROOM;
        contact.blockUntil(nowMillis + (full ? NO_ROOM_BLOCK_MILLIS : SUSPECT_BLOCK_MILLIS));
        giveUpOrFence(run, nowMillis);
      }
      default -> suspectIfSilent(run, contact, nowMillis);
    }
  }

  /** Takes the outcome of a stop. */
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
      contact(run.life()).renewSoon();
    }
  }

  /** Notes that a life is over, because its machine was taken down. */
  void lifeOver(WorkerLife life) {
    contact(life).markOver();
  }

  /** Stops a run; its task becomes free when the end is noted. */
  void stop(TrackedRun run, long nowMillis) {
    if (!run.isStopping()) {
      run.enter(Phase.STOPPING, nowMillis);
      follow(run, nowMillis);
    }
  }

  /** Returns whether a persistent task is fully at work, as its worker has said just now. */
  boolean isAtWork(Task task, long nowMillis) {
    TrackedRun run = runs.find(task.runId());
    return run != null
        && run.phase() == Phase.RUNNING
        && run.percent() >= FULL_PERCENT
        && contacts.isAnswering(contact(run.life()), nowMillis);
  }

  void request(Action action) {
    orders.request(action);
  }

  void propose(JobCommand command) {
    orders.propose(command);
  }

  private void renewIfDue(WorkerHeartbeat worker, long nowMillis) {
    Contact contact = contact(worker.life());
    if (contact.isOver() || !contact.isRenewDue(nowMillis)) {
      return;
    }
    boolean endsPending = contact.proposedEnd() > ledger.lastEnd(worker.life());
    if (endsPending && nowMillis - contact.renewSentAtMillis() < COMMIT_WAIT_MILLIS) {
      return;
    }
    if (endsPending) {
      contact.forgetProposedEnds();
    }
    orders.renew(worker, contact, nowMillis);
  }

  private void giveUpWhatIsOver(long nowMillis) {
    List<TrackedRun> lost = new ArrayList<>();
    for (WorkerLife life : runs.lives()) {
      if (contacts.isLifeOver(life, nowMillis)) {
        runs.on(life).stream()
            .filter(run -> contacts.isSuccessorClear(run, nowMillis))
            .forEach(lost::add);
      }
    }
    giveUp(lost, nowMillis);
  }

  private void giveUp(List<TrackedRun> lost, long nowMillis) {
    List<RunId> ids = new ArrayList<>();
    for (TrackedRun run : lost) {
      if (!run.isGivenUp(nowMillis, COMMIT_WAIT_MILLIS)) {
        run.giveUp(nowMillis);
        ids.add(run.run());
      }
    }
    if (!ids.isEmpty()) {
      propose(new GiveUpRuns(ids));
    }
  }

  /** A copy of the start without an answer may be carried out later, unless a stop fences it. */
  private void giveUpOrFence(TrackedRun run, long nowMillis) {
    if (run.mayStartLater()) {
      run.enter(Phase.STOPPING, nowMillis);
    } else {
      giveUp(List.of(run), nowMillis);
    }
  }

  /** Carries on with the runs on a life of a worker. */
  private void followAll(WorkerLife life, long nowMillis) {
    Contact contact = contact(life);
    boolean answering = contacts.isAnswering(contact, nowMillis);
    boolean leaving =
        directory
            .find(life.worker())
            .filter(worker -> worker.phase() != WorkerPhase.READY)
            .isPresent();
    for (TrackedRun run : runs.on(life)) {
      boolean running = run.phase() == Phase.RUNNING;
      boolean standing = running && answering && isStandingStill(run, nowMillis);
      if (standing) {
        contact.runFailed(nowMillis);
      }
      if (standing || (running && leaving && run.task().step().persistent())) {
        run.enter(Phase.STOPPING, nowMillis);
      }
      follow(run, nowMillis);
    }
  }

  private static boolean isStandingStill(TrackedRun run, long nowMillis) {
    return run.percent() < FULL_PERCENT && nowMillis - run.progressAtMillis() > STANDSTILL_MILLIS;
  }

  /** Repeats the order that a run waits for, and stops it when its job has ended. */
  private void follow(TrackedRun run, long nowMillis) {
    boolean jobEnded =
        ledger.job(run.run().task().job()).map(job -> job.status().isEnded()).orElse(true);
    if (jobEnded && !run.isStopping()) {
      run.enter(Phase.STOPPING, nowMillis);
    }
    if (!run.isOrderDue(nowMillis, timing.retryMillis())) {
      return;
    }
    if (run.phase() == Phase.STARTING) {
      orders.start(run, nowMillis);
    } else if (run.phase() == Phase.STOPPING) {
      orders.stop(run, nowMillis);
    }
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
      follow(run, nowMillis);
    }
  }

  private void onEndsNoted(NoteEnds note, long nowMillis) {
    Contact contact = contact(note.worker());
    for (RunEnd end : note.ends()) {
      learnDuration(end, nowMillis);
      runs.remove(end.run());
      if (end.kind() == EndKind.DONE) {
        contact.runDone();
      } else if (end.kind() == EndKind.FAILED) {
        contact.runFailed(nowMillis);
      }
    }
    contact.renewSoon();
  }

  /** Later runs may have resumed from a checkpoint, and adopted ones have begun unseen. */
  private void learnDuration(RunEnd end, long nowMillis) {
    TrackedRun run = runs.find(end.run());
    boolean whole =
        run != null && end.kind() == EndKind.DONE && end.run().run() == 1 && run.isSeenWhole();
    if (whole) {
      ledger
          .job(end.run().task().job())
          .ifPresent(
              job ->
                  durations.done(
                      job.spec().queue(),
                      run.task().step().estimateMillis(),
                      nowMillis - run.createdAtMillis()));
    }
  }

  private void onListedRunning(WorkerTarget target, RunningTask listed, long nowMillis) {
    TrackedRun run = runs.find(listed.run());
    if (run != null && run.life().isEarlierThan(target.life())) {
      runs.moveTo(run, target.life());
    }
    if (run == null || !run.life().equals(target.life())) {
      orders.stopStray(target, listed);
      return;
    }
    run.progress(listed.percent(), nowMillis);
    if (run.phase() == Phase.ADOPTED || run.phase() == Phase.STARTING) {
      run.enter(Phase.RUNNING, nowMillis);
    }
  }

  private void proposeEnds(Contact contact, WorkerReport report, long nowMillis) {
    long noted = Math.max(ledger.lastEnd(contact.life()), contact.proposedEnd());
    List<RunEnd> ends = new ArrayList<>();
    long last = noted;
    for (ListedEnd listed : report.ended()) {
      if (listed.number() > noted) {
        ends.add(listed.end());
        last = Math.max(last, listed.number());
      }
    }
    if (last > noted) {
      contact.endsProposed(last);
      contact.renewSent(nowMillis);
      contact.renewDone(nowMillis);
      propose(new NoteEnds(contact.life(), last, ends));
    }
  }

  /** Settles the runs that the worker doesn't list, though they should be there. */
  private void settleUnlisted(Contact contact, long sentAtMillis, long nowMillis) {
    List<TrackedRun> neverStarted = new ArrayList<>();
    for (TrackedRun run : runs.on(contact.life())) {
      if (contact.lists(run.run()) || run.phaseAtMillis() >= sentAtMillis) {
        continue;
      }
      if (run.phase() == Phase.ADOPTED) {
        run.enter(Phase.STARTING, nowMillis);
      } else if (run.phase() == Phase.RUNNING) {
        run.enter(Phase.STOPPING, nowMillis);
      } else if (run.phase() == Phase.STOPPED) {
        neverStarted.add(run);
      }
    }
    giveUp(neverStarted, nowMillis);
  }

  private void suspectIfSilent(TrackedRun run, Contact contact, long nowMillis) {
    if (run.isSuspicious()) {
      contact.blockUntil(nowMillis + SUSPECT_BLOCK_MILLIS);
      run.enter(Phase.STOPPING, nowMillis);
    }
  }
}
