package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.job.JobCommand.GiveUpRuns;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.schedule.TrackedRun.Phase;

/**
 * Gives up runs that are guaranteed not to execute now or later, and fences those that an
 * unanswered order may still start. Not thread-safe.
 */
final class LostRuns {

  private final RunTable runs;
  private final WorkerSessions sessions;
  private final ActionQueue actionQueue;

  LostRuns(RunTable runs, WorkerSessions sessions, ActionQueue actionQueue) {
    this.runs = runs;
    this.sessions = sessions;
    this.actionQueue = actionQueue;
  }

  /** Gives up the runs of incarnations that have ended. */
  void giveUpLost(long nowMillis) {
    List<TrackedRun> lost = new ArrayList<>();
    for (WorkerIncarnation incarnation : runs.incarnations()) {
      if (sessions.hasIncarnationEnded(incarnation, nowMillis)) {
        fenceOnSuccessor(incarnation, nowMillis);
        runs.on(incarnation).stream()
            .filter(run -> sessions.cannotRunOnSuccessor(run, nowMillis))
            .forEach(lost::add);
      }
    }
    giveUp(lost, nowMillis);
  }

  /**
   * Stops runs on the worker's later incarnation, which may have received an unanswered copy of the
   * start and execute it late.
   */
  private void fenceOnSuccessor(WorkerIncarnation ended, long nowMillis) {
    sessions
        .successorOf(ended)
        .ifPresent(
            successor -> {
              for (TrackedRun run : runs.on(ended)) {
                if (run.mayStillStart() && !run.isBeingGivenUp()) {
                  runs.moveTo(run, successor);
                  run.restartStop(nowMillis);
                }
              }
            });
  }

  private void giveUp(List<TrackedRun> lost, long nowMillis) {
    List<RunId> ids = new ArrayList<>();
    for (TrackedRun run : lost) {
      if (!run.isBeingGivenUp()) {
        run.enter(Phase.GIVING_UP, nowMillis);
        ids.add(run.id());
      }
    }
    if (!ids.isEmpty()) {
      actionQueue.propose(new GiveUpRuns(ids));
    }
  }

  /** An unanswered copy of the start may still be executed later unless a stop fences it. */
  void giveUpOrFence(TrackedRun run, long nowMillis) {
    if (run.mayStillStart()) {
      run.enter(Phase.STOPPING, nowMillis);
    } else {
      giveUp(List.of(run), nowMillis);
    }
  }

  /** Resolves runs assigned to the worker that its report rules out. */
  void resolveRuledOut(WorkerSession session, long sentAtMillis, long nowMillis) {
    List<TrackedRun> neverStarted = new ArrayList<>();
    for (TrackedRun run : runs.on(session.incarnation())) {
      if (!session.rulesOut(run.id()) || run.phaseAtMillis() >= sentAtMillis) {
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
}
