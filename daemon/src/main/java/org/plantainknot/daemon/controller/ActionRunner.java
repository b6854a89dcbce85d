package org.plantainknot.daemon.controller;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.function.Consumer;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.schedule.Action;
import org.plantainknot.core.schedule.CallOutcome;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.platform.AdviceClient;
import org.plantainknot.platform.MachineClient;
import org.plantainknot.platform.WorkerClient;

/**
 * Performs the actions of the leader and passes their outcomes to the scheduler on the control
 * thread.
 */
final class ActionRunner {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WorkerClient workers;
  private final MachineClient machines;
  private final AdviceClient advice;
  private final Consumer<Runnable> controlThread;
  private final Consumer<JobCommand> proposer;

  ActionRunner(
      WorkerClient workers,
      MachineClient machines,
      AdviceClient advice,
      Consumer<Runnable> controlThread,
      Consumer<JobCommand> proposer) {
    this.workers = workers;
    this.machines = machines;
    this.advice = advice;
    this.controlThread = controlThread;
    this.proposer = proposer;
  }

  void run(List<Action> actions, JobScheduler scheduler) {
    for (Action action : actions) {
      if (action instanceof Action.Propose propose) {
        proposer.accept(propose.command());
      } else if (action instanceof Action.Renew renew) {
        renew(renew, scheduler);
      } else if (action instanceof Action.Start start) {
        start(start, scheduler);
      } else if (action instanceof Action.Stop stop) {
        stop(stop, scheduler);
      } else if (action instanceof Action.Pace pace) {
        pace(pace);
      } else if (action instanceof Action.SendMachineOrder send) {
        sendMachineOrder(send, scheduler);
      } else if (action instanceof Action.Advise advise) {
        advise(advise, scheduler);
      } else if (action instanceof Action.ListMachines) {
        listMachines(scheduler);
      }
    }
  }

  private void renew(Action.Renew renew, JobScheduler scheduler) {
    long sentAtMillis = Clock.nowMillis();
    workers
        .renew(renew)
        .subscribe()
        .with(
            result ->
                controlThread.accept(
                    () -> scheduler.renewed(renew.target(), sentAtMillis, result)));
  }

  private void start(Action.Start start, JobScheduler scheduler) {
    workers
        .start(start)
        .subscribe()
        .with(
            answer -> {
              logger.atInfo().log(
                  "start run=%s worker=%s until=%d outcome=%s",
                  start.run(), start.target(), start.untilMillis(), answer.outcome());
              controlThread.accept(() -> scheduler.started(start, answer));
            });
  }

  private void stop(Action.Stop stop, JobScheduler scheduler) {
    workers
        .stop(stop)
        .subscribe()
        .with(
            answer -> {
              logger.atInfo().log(
                  "stop run=%s worker=%s outcome=%s", stop.run(), stop.target(), answer.outcome());
              controlThread.accept(() -> scheduler.stopped(stop, answer.outcome()));
            });
  }

  private void pace(Action.Pace pace) {
    workers
        .pace(pace)
        .subscribe()
        .with(
            answer -> {
              if (answer.outcome() != CallOutcome.ACCEPTED) {
                logger.atInfo().log("pace run=%s outcome=%s", pace.run(), answer.outcome());
              }
            });
  }

  private void advise(Action.Advise advise, JobScheduler scheduler) {
    long sentAtMillis = Clock.nowMillis();
    advice
        .ask(advise)
        .subscribe()
        .with(
            answer -> {
              logger.atInfo().log(
                  "advice step=%s asked=%d tickets=%d after-ms=%d",
                  advise.step(),
                  advise.workers().size(),
                  answer.map(a -> a.ticketByWorker().size()).orElse(0),
                  Clock.nowMillis() - sentAtMillis);
              controlThread.accept(() -> scheduler.advised(advise, answer, sentAtMillis));
            });
  }

  private void sendMachineOrder(Action.SendMachineOrder send, JobScheduler scheduler) {
    machines
        .send(send)
        .subscribe()
        .with(
            outcome -> {
              logger.atInfo().log("machine-order order=%s outcome=%s", send.order(), outcome);
              controlThread.accept(() -> scheduler.machineOrdered(send.order(), outcome));
            });
  }

  private void listMachines(JobScheduler scheduler) {
    machines
        .list()
        .subscribe()
        .with(
            list -> controlThread.accept(() -> scheduler.machinesListed(list)),
            failure -> {
              logger.atInfo().log("machine-list-failed cause=%s", failure);
              controlThread.accept(scheduler::machineListFailed);
            });
  }
}
