package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.job.JobCommand.NoteEnds;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.RunEnd;

/** Proposes the ends of runs that workers report, each once in a leader's term. */
final class EndProposer {

  private final JobLedger ledger;
  private final ActionQueue actionQueue;

  EndProposer(JobLedger ledger, ActionQueue actionQueue) {
    this.ledger = ledger;
    this.actionQueue = actionQueue;
  }

  /** Returns whether ends of the worker are proposed and not committed yet. */
  boolean isCommitPending(WorkerSession session) {
    return session.lastProposedEnd() > ledger.lastEnd(session.incarnation());
  }

  /** Proposes the ends in a report that were not proposed before. */
  void proposeNew(WorkerSession session, WorkerReport report, long nowMillis) {
    long lastKnown = Math.max(ledger.lastEnd(session.incarnation()), session.lastProposedEnd());
    List<RunEnd> ends = new ArrayList<>();
    long last = lastKnown;
    for (ListedEnd listed : report.ended()) {
      if (listed.number() > lastKnown) {
        ends.add(listed.end());
        last = Math.max(last, listed.number());
      }
    }
    if (last > lastKnown) {
      session.endsProposed(last);
      // Restarts the period in which the next renewal waits for these ends to be committed.
      session.renewSent(nowMillis);
      session.renewDone(nowMillis);
      actionQueue.propose(new NoteEnds(session.incarnation(), last, ends));
    }
  }
}
