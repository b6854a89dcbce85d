package org.plantainknot.daemon.controller;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.daemon.metrics.DecisionMetrics;

/**
 * Measures the time from the proposal of this leader's commands to their application, and logs slow
 * ones. Used by the control thread only.
 */
final class CommitTimes {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long SLOW_COMMIT_MILLIS = 500;

  private record Proposal(JobCommand command, int sizeBytes, long proposedAtMillis) {}

  private final DecisionMetrics metrics;
  private final Map<Long, Proposal> proposalByIndex = new HashMap<>();

  CommitTimes(DecisionMetrics metrics) {
    this.metrics = metrics;
  }

  /** Records that a command was proposed at a log index. */
  void proposed(long index, JobCommand command, int sizeBytes, long nowMillis) {
    metrics.countProposal(command, sizeBytes);
    proposalByIndex.put(index, new Proposal(command, sizeBytes, nowMillis));
  }

  /** Records that the entry at a log index was applied. */
  void applied(long index, long nowMillis) {
    Proposal proposal = proposalByIndex.remove(index);
    if (proposal == null) {
      return;
    }
    long tookMillis = nowMillis - proposal.proposedAtMillis();
    metrics.recordCommit(tookMillis);
    if (tookMillis > SLOW_COMMIT_MILLIS) {
      logger.atInfo().log(
          "slow-commit index=%d command=%s bytes=%d after-ms=%d",
          index, proposal.command().getClass().getSimpleName(), proposal.sizeBytes(), tookMillis);
    }
  }

  /** Forgets the proposals that are not applied because this member is no longer the leader. */
  void clear() {
    proposalByIndex.clear();
  }
}
