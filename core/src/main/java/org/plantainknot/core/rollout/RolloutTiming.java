package org.plantainknot.core.rollout;

/**
 * Times of the leader's duties.
 *
 * @param goneMillis silence after which a target counts as gone
 * @param requestMaxMillis longest time that a request may run on a target
 * @param returnMillis time after which a rebooting VM is reported as overdue
 * @param pauseWindowMillis time over which lost targets are counted
 * @param pauseLosses number of targets lost in the window that pauses all waves
 */
public record RolloutTiming(
    long goneMillis,
    long requestMaxMillis,
    long returnMillis,
    long pauseWindowMillis,
    int pauseLosses) {

  /** Times for the sizes of today. */
  public static final RolloutTiming DEFAULT = new RolloutTiming(3_000, 10_000, 120_000, 30_000, 3);
}
