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
   * Records the duration of a run that has ended now. Skips later runs, which may have resumed from
   * a checkpoint, and adopted runs, whose start is unknown.
   */
  void record(TrackedRun run, RunEnd end, long nowMillis) {
    boolean measurable =
        end.kind() == EndKind.DONE && end.run().run() == 1 && run.isObservedFromStart();
    if (measurable) {
      ledger.job(end.run().task().job()).ifPresent(job -> record(run, job, nowMillis));
    }
  }

  private void record(TrackedRun run, Job job, long nowMillis) {
    estimator.addSample(
        job.spec().queue(), run.task().step().estimateMillis(), nowMillis - run.createdAtMillis());
  }
}
