package org.plantainknot.core.schedule;

import org.plantainknot.core.job.EndKind;
import org.plantainknot.core.job.Job;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.RunEnd;

/** Feeds the durations of completed runs to the estimator of their queue. */
final class DurationRecorder {

  private final JobLedger ledger;
  private final DurationEstimator estimator;

  DurationRecorder(JobLedger ledger, DurationEstimator estimator) {
    this.ledger = ledger;
    this.estimator = estimator;
  }

  /**
   * Records how long a completed run was executed, without the time that its assignment and its end
   * took to commit. Skips later runs, which may have resumed from a checkpoint, and runs that
   * another leader started.
   */
  void record(TrackedRun run, RunEnd end) {
    if (end.kind() == EndKind.DONE && end.run().run() == 1) {
      ledger.job(end.run().task().job()).ifPresent(job -> record(run, job));
    }
  }

  private void record(TrackedRun run, Job job) {
    estimator.addSample(
        job.spec().queue(), run.task().step().estimateMillis(), run.executionMillis());
  }
}
