package org.plantainknot.core.schedule;

import org.plantainknot.core.job.StepSpec;

/**
 * Time without progress after which a run counts as stalled. Workers may tell progress in whole
 * percent, so that long work shows none for a hundredth of its duration.
 */
final class StallTimeout {

  private static final long MIN_MILLIS = 4_000;
  private static final double STEP_PERCENT = 1;

  /**
   * Steps of progress that may be missed, since work may take longer than it did or was estimated.
   */
  private static final int MISSED_STEPS = 3;

  /** Runs that are given up quickly, since their workers may be at fault. */
  private static final int QUICK_RUNS = 2;

  /** Limit of the doublings with each further run, for work that is estimated far too short. */
  private static final int MAX_DOUBLINGS = 5;

  private StallTimeout() {}

  /** Returns whether a run that its worker lists has made no progress for too long. */
  static boolean hasStalled(TrackedRun run, long nowMillis) {
    return !run.isAtFullPercent() && nowMillis - run.progressAtMillis() > millis(run);
  }

  private static long millis(TrackedRun run) {
    StepSpec step = run.task().step();
    if (step.persistent()) {
      return MIN_MILLIS;
    }
    long estimatedStepMillis = (long) (step.estimateMillis() * STEP_PERCENT / 100);
    long stepMillis = Math.max(estimatedStepMillis, run.millisPerPercent());
    int doublings = Math.min(Math.max(0, run.id().run() - QUICK_RUNS), MAX_DOUBLINGS);
    return Math.max(MIN_MILLIS << doublings, MISSED_STEPS * stepMillis);
  }
}
