package org.plantainknot.daemon.control;

import java.util.concurrent.TimeUnit;

/** The clocks that the daemon goes by. */
public final class Clock {

  private Clock() {}

  /** Returns the time on the monotonic clock, for intervals, leases and deadlines. */
  public static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns the time since 1970, for what people and callers state. */
  public static long wallMillis() {
    return System.currentTimeMillis();
  }
}
