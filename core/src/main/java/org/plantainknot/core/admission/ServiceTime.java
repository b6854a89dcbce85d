package org.plantainknot.core.admission;

/**
 * Running estimate of a service's response time: smoothed mean and mean deviation. Not thread-safe.
 */
public final class ServiceTime {

  private static final double GAIN = 0.05;
  private static final double DEVIATION_FACTOR = 2;

  private double meanMillis;
  private double deviationMillis;
  private boolean hasMeasurement;

  /** Adds a measured response time to the estimate. */
  public void record(long responseMillis) {
    if (!hasMeasurement) {
      meanMillis = responseMillis;
      hasMeasurement = true;
      return;
    }
    double error = responseMillis - meanMillis;
    meanMillis += GAIN * error;
    deviationMillis += GAIN * (Math.abs(error) - deviationMillis);
  }

  /** Returns the smoothed mean, or 0 before the first measurement. */
  public double meanMillis() {
    return meanMillis;
  }

  /** Returns a time within which most responses arrive, or 0 before the first measurement. */
  public double upperEstimateMillis() {
    return meanMillis + DEVIATION_FACTOR * deviationMillis;
  }
}
