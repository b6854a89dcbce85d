package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.StepId;

/** Queues the actions of one leader term: orders to workers, requests and commands. */
final class ActionQueue {

  private final JobLedger ledger;
  private final WorkerSessions sessions;
  private final DispatchTiming timing;
  private final Advisor advisor;
  private final long term;
  private final List<Action> actions = new ArrayList<>();

  ActionQueue(
      JobLedger ledger,
      WorkerSessions sessions,
      DispatchTiming timing,
      Advisor advisor,
      long term) {
    this.ledger = ledger;
    this.sessions = sessions;
    this.timing = timing;
    this.advisor = advisor;
    this.term = term;
  }

  List<Action> drain() {
    List<Action> due = List.copyOf(actions);
    actions.clear();
    return due;
  }

  void enqueue(Action action) {
    actions.add(action);
  }

  void propose(JobCommand command) {
    actions.add(new Action.Propose(command));
  }

  /** Requests a report from a worker, and extends its lease if it has answered recently. */
  void renew(WorkerHeartbeat worker, WorkerSession session, long nowMillis) {
    long acknowledgedEnd = session.hasEndsToAcknowledge() ? ledger.lastEnd(worker.life()) : 0;
    session.renewSent(nowMillis);
    session.setRenewAcknowledgesEnds(acknowledgedEnd > 0);
    actions.add(
        new Action.Renew(
            new WorkerTarget(worker.life(), worker.address()),
            term,
            acknowledgedEnd,
            sessions.isFresh(session, nowMillis) ? session.grantLease(nowMillis) : 0,
            session.hasReported() ? timing.renewWaitMillis() : 0));
  }

  /** Starts a run, unless its worker has not answered recently or has restarted. */
  void start(TrackedRun run, long nowMillis) {
    WorkerSession session = sessions.of(run.incarnation());
    if (sessions.isFresh(session, nowMillis) && !session.hasEnded()) {
      sessions
          .targetOf(run.incarnation())
          .ifPresent(target -> start(run, target, session, nowMillis));
    }
  }

  private void start(TrackedRun run, WorkerTarget target, WorkerSession session, long nowMillis) {
    run.orderSent(nowMillis);
    run.startSent(nowMillis);
    String payload =
        ledger.job(run.id().task().job()).map(job -> job.spec().payload()).orElseThrow();
    StepId step = run.id().task().stepId();
    actions.add(
        new Action.Start(
            target,
            run.id(),
            payload,
            run.task().checkpoint(),
            advisor.ticket(step, target.life(), nowMillis),
            term,
            session.grantLease(nowMillis)));
  }

  void stop(TrackedRun run, long nowMillis) {
    sessions
        .targetOf(run.incarnation())
        .ifPresent(
            target -> {
              run.orderSent(nowMillis);
              actions.add(new Action.Stop(target, run.id(), term));
            });
  }

  /** Stops a run that a worker lists but that is not assigned to it. */
  void stopUnexpected(WorkerTarget target, ListedRun listed) {
    actions.add(new Action.Stop(target, listed.run(), term));
  }
}
