package org.plantainknot.daemon.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.plantainknot.core.job.Assignment;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.RunEnd;

/**
 * Counts the leader's proposed commands and committed decisions, and measures how long commits take
 * and jobs wait for their first run.
 */
public final class DecisionMetrics {

  private final MetricRegistry metrics;
  private final Histogram firstRunWaitMillis;
  private final Timer commits;
  private final Counter joinedRequests;

  /** Creates the metrics of one process. */
  public DecisionMetrics(MetricRegistry metrics) {
    this.metrics = metrics;
    this.firstRunWaitMillis = metrics.histogram("runs.first.wait.millis");
    this.commits = metrics.timer("commands.commit");
    this.joinedRequests = metrics.counter("requests.joined");
  }

  /** Counts an election of this process as leader. */
  public void countElection() {
    metrics.counter("leader.elected").inc();
  }

  /** Counts a command that this process proposed to the log, and its bytes, by kind of command. */
  public void countProposal(JobCommand command, int sizeBytes) {
    String kind = command.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    count("commands.proposed." + kind);
    metrics.counter("commands.proposed." + kind + ".bytes").inc(sizeBytes);
  }

  /** Records the time from the proposal of a command to its application. */
  public void recordCommit(long tookMillis) {
    commits.update(tookMillis, TimeUnit.MILLISECONDS);
  }

  /** Counts a request that joined a pending proposal with the same command. */
  public void countJoinedRequest() {
    joinedRequests.inc();
  }

  /** Counts a decision that was committed and applied while this process is the leader. */
  public void countDecision(JobCommand command, JobLedger ledger) {
    if (command instanceof JobCommand.Assign assign) {
      assign.assignments().forEach(assignment -> countAssignment(assignment, ledger));
    } else if (command instanceof JobCommand.NoteEnds noteEnds) {
      for (RunEnd end : noteEnds.ends()) {
        count("runs.ended." + end.kind().name().toLowerCase(Locale.ROOT));
      }
    } else if (command instanceof JobCommand.GiveUpRuns giveUp) {
      metrics.counter("runs.given.up").inc(giveUp.runs().size());
    } else if (command instanceof JobCommand.SettleMachine settleMachine) {
      String order = settleMachine.order().isMove() ? "moves" : "maintenance";
      count("machines." + order + (settleMachine.carriedOut() ? ".done" : ".refused"));
    }
  }

  /**
   * Counts an assignment. The wait is measured from the acceptance of the job and only for its
   * first step, since later steps wait for earlier ones.
   */
  private void countAssignment(Assignment assignment, JobLedger ledger) {
    count("runs.assigned");
    boolean isFirstRun = assignment.run().run() == 1 && assignment.run().task().step() == 0;
    if (isFirstRun) {
      ledger
          .job(assignment.run().task().job())
          .filter(job -> job.spec().schedule().times() == 0)
          .ifPresent(
              job -> firstRunWaitMillis.update(ledger.clockMillis() - job.acceptedAtMillis()));
    }
  }

  private void count(String name) {
    metrics.counter(name).inc();
  }
}
