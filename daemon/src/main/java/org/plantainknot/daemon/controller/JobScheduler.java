package org.plantainknot.daemon.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.MachineOrder;
import org.plantainknot.core.schedule.Action;
import org.plantainknot.core.schedule.Advice;
import org.plantainknot.core.schedule.CallOutcome;
import org.plantainknot.core.schedule.DispatchTiming;
import org.plantainknot.core.schedule.Dispatcher;
import org.plantainknot.core.schedule.Machine;
import org.plantainknot.core.schedule.MachineOrderTimes;
import org.plantainknot.core.schedule.MachineOutcome;
import org.plantainknot.core.schedule.Maintainer;
import org.plantainknot.core.schedule.OrderAnswer;
import org.plantainknot.core.schedule.Planner;
import org.plantainknot.core.schedule.WorkerDirectory;
import org.plantainknot.core.schedule.WorkerTarget;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.platform.WorkerClient;

/**
 * The leader's scheduling of jobs and machine maintenance in one term, created once the entries of
 * earlier terms are applied.
 *
 * <p>Used by the control thread only.
 */
final class JobScheduler {

  private static final long PLAN_INTERVAL_NANOS = 3_000_000;

  /** Minimum pause after a planning round, as a multiple of the duration of the round. */
  private static final int PLAN_PAUSE_FACTOR = 4;

  private static final long TICK_MILLIS = 20;

  private final long term;
  private final Dispatcher dispatcher;
  private final Planner planner;
  private final Maintainer maintainer;
  private boolean planDue = true;
  private long nextPlanNanos = System.nanoTime();
  private long lastTickMillis;

  JobScheduler(
      JobLedger ledger,
      WorkerDirectory directory,
      DispatchTiming timing,
      MachineOrderTimes orderTimes,
      long term) {
    long nowMillis = Clock.nowMillis();
    this.term = term;
    this.dispatcher = new Dispatcher(ledger, directory, timing, term, nowMillis);
    this.planner = new Planner(ledger, directory, dispatcher);
    this.maintainer =
        new Maintainer(ledger, directory, dispatcher, planner, timing, orderTimes, term, nowMillis);
  }

  long term() {
    return term;
  }

  /** Passes a committed command to the components that depend on it. */
  void applied(JobCommand command) {
    if (command instanceof JobCommand.Assign assign) {
      planner.assignmentsApplied(assign.assignments());
    }
    dispatcher.applied(command, Clock.nowMillis());
    maintainer.applied(command, Clock.nowMillis());
    planDue = true;
  }

  void renewed(WorkerTarget target, long sentAtMillis, WorkerClient.RenewResult result) {
    if (result.outcome() == CallOutcome.ACCEPTED) {
      dispatcher.renewed(target, sentAtMillis, result.report(), Clock.nowMillis());
    } else {
      dispatcher.renewalFailed(target, result.outcome(), Clock.nowMillis());
    }
    planDue = true;
  }

  void started(Action.Start start, OrderAnswer answer) {
    dispatcher.started(start.target(), start.run(), answer, Clock.nowMillis());
  }

  void stopped(Action.Stop stop, CallOutcome outcome) {
    dispatcher.stopped(stop.run(), outcome, Clock.nowMillis());
  }

  void advised(Action.Advise asked, Optional<Advice> answer, long sentAtMillis) {
    answer.ifPresentOrElse(
        advice -> dispatcher.advisor().answered(asked, advice, sentAtMillis),
        () -> dispatcher.advisor().failed(Clock.nowMillis()));
    planDue = true;
  }

  void machineOrdered(MachineOrder order, MachineOutcome outcome) {
    maintainer.orderAnswered(order, outcome, Clock.nowMillis());
  }

  void machinesListed(List<Machine> machines) {
    maintainer.machinesListed(machines);
  }

  void machineListFailed() {
    maintainer.listFailed();
  }

  /**
   * Runs the periodic work and returns the actions that are due.
   *
   * @param mayPlan whether new assignments may be planned
   */
  List<Action> tick(boolean mayPlan) {
    long nowMillis = Clock.nowMillis();
    if (nowMillis - lastTickMillis >= TICK_MILLIS) {
      lastTickMillis = nowMillis;
      planDue = true;
      dispatcher.tick(nowMillis);
      maintainer.tick(nowMillis);
    }
    List<Action> actions = new ArrayList<>(dispatcher.drain());
    if (planDue && mayPlan && System.nanoTime() - nextPlanNanos >= 0) {
      plan(nowMillis, actions);
    }
    dispatcher.advisor().next(nowMillis).ifPresent(actions::add);
    return actions;
  }

  /**
   * Plans assignments, then pauses planning so that a long backlog doesn't delay the other work of
   * the control thread.
   */
  private void plan(long nowMillis, List<Action> actions) {
    planDue = false;
    long startNanos = System.nanoTime();
    List<Assignment> planned = planner.plan(nowMillis, Clock.wallMillis());
    if (!planned.isEmpty()) {
      actions.add(new Action.Propose(new JobCommand.Assign(planned)));
    }
    long endNanos = System.nanoTime();
    nextPlanNanos =
        endNanos + Math.max(PLAN_INTERVAL_NANOS, PLAN_PAUSE_FACTOR * (endNanos - startNanos));
  }
}
