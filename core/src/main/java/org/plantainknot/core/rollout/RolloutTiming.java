package org.plantainknot.core.rollout;

/**
 * Timeouts and limits of rollouts.
 *
 * @param targetTimeoutMillis time without an announcement after which a target counts as gone
 * @param requestMaxMillis maximum time that a request may run on a target
 * @param rebootTimeoutMillis time after which a rebooting VM is reported as overdue
 * @param pauseWindowMillis length of the sliding window in which lost targets are counted
 * @param pauseThreshold number of targets lost within the window at which all waves pause
 */
public record RolloutTiming(
    long targetTimeoutMillis,
    long requestMaxMillis,
    long rebootTimeoutMillis,
    long pauseWindowMillis,
    int pauseThreshold) {

  /** Default values, chosen for the current fleet sizes. */
  public static final RolloutTiming DEFAULT = new RolloutTiming(3_000, 10_000, 120_000, 30_000, 3);
}
