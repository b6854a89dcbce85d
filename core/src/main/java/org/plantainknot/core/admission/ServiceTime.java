package org.plantainknot.core.admission;

/** Running estimate of the time that a service takes to answer. Not thread-safe. */
public final class ServiceTime {

  private static final double GAIN = 0.05;
  private static final double DEVIATIONS = 2;

  private double meanMillis;
  private double deviationMillis;
  private boolean known;

  /** Takes a measured time into account. */
  public void record(long tookMillis) {
    if (!known) {
      meanMillis = tookMillis;
      known = true;
      return;
    }
    double error = tookMillis - meanMillis;
    meanMillis += GAIN * error;
    deviationMillis += GAIN * (Math.abs(error) - deviationMillis);
  }

  /** Returns the mean, or 0 while nothing is known. */
  public double meanMillis() {
    return meanMillis;
  }

  /** Returns a time within which most answers come, or 0 while nothing is known. */
  public double likelyMillis() {
    return meanMillis + DEVIATIONS * deviationMillis;
  }
}
