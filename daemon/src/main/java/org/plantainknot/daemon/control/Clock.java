package org.plantainknot.daemon.control;

import java.util.concurrent.TimeUnit;

/** Monotonic and wall-clock time sources of the daemon. */
public final class Clock {

  private Clock() {}

  /** Returns the monotonic time, used for intervals, leases and deadlines. */
  public static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /**
   * Returns the wall-clock time since the Unix epoch, used for times given by people and callers.
   */
  public static long wallMillis() {
    return System.currentTimeMillis();
  }
}
