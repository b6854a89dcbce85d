package org.plantainknot.daemon.control;

/**
 * Detects that this machine may have been suspended: the wall clock has advanced while the
 * monotonic clock stood still. A wall clock that is set forward looks the same. Not thread-safe.
 */
public final class SuspensionDetector {

  /** Advance of the wall clock over the monotonic clock that is not ascribed to slewing. */
  private static final long MIN_SUSPENSION_MILLIS = 300;

  private boolean observed;
  private long differenceMillis;

  /**
   * Compares the clocks with those of the previous call.
   *
   * @return whether the machine may have been suspended since then
   */
  public boolean observe(long monotonicMillis, long wallMillis) {
    long earlierMillis = differenceMillis;
    boolean first = !observed;
    observed = true;
    differenceMillis = wallMillis - monotonicMillis;
    return !first && differenceMillis - earlierMillis >= MIN_SUSPENSION_MILLIS;
  }
}
