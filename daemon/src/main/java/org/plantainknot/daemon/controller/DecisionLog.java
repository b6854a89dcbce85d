package org.plantainknot.daemon.controller;

import com.google.common.flogger.FluentLogger;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.RunEnd;

/** Logs the leader's committed decisions, such as assignments, ends of runs and machine orders. */
final class DecisionLog {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private DecisionLog() {}

  static void applied(JobCommand command, long index) {
    if (command instanceof JobCommand.Assign assign) {
      for (Assignment assignment : assign.assignments()) {
        logger.atInfo().log(
            "assigned run=%s worker=%s index=%d", assignment.run(), assignment.worker(), index);
      }
    } else if (command instanceof JobCommand.NoteEnds note) {
      for (RunEnd end : note.ends()) {
        logger.atInfo().log(
            "ended run=%s how=%s worker=%s last-end=%d index=%d",
            end.run(), end.kind(), note.worker(), note.lastEnd(), index);
      }
    } else if (command instanceof JobCommand.GiveUpRuns giveUp) {
      logger.atInfo().log("given-up runs=%s index=%d", giveUp.runs(), index);
    } else if (command instanceof JobCommand.SettleMachine settle) {
      logger.atInfo().log(
          "machine-settled order=%s carried-out=%s index=%d",
          settle.order(), settle.carriedOut(), index);
    }
  }
}
