package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Predicts task durations per queue from completed tasks.
 *
 * <p>Handles loads with inaccurate estimates: a linear regression of the logarithm of the duration
 * on the logarithm of the estimate determines how far an estimate is trusted and towards which
 * duration it is corrected. Not thread-safe.
 */
final class DurationEstimator {

  private static final int MIN_SAMPLES = 30;

  private final Map<String, SimpleRegression> regressionByQueue = new HashMap<>();

  /** Adds the duration of a task that was completed in a single run. */
  void addSample(String queue, long estimateMillis, long durationMillis) {
    if (estimateMillis > 0 && durationMillis > 0) {
      regressionByQueue
          .computeIfAbsent(queue, name -> new SimpleRegression())
          .addData(Math.log(estimateMillis), Math.log(durationMillis));
    }
  }

  /** Returns the expected duration, which is the estimate itself while samples are too few. */
  long expectedMillis(String queue, long estimateMillis) {
    SimpleRegression regression = regressionByQueue.get(queue);
    if (regression == null || regression.getN() < MIN_SAMPLES || estimateMillis <= 0) {
      return estimateMillis;
    }
    double expected = Math.exp(regression.predict(Math.log(estimateMillis)));
    return Double.isFinite(expected) ? Math.round(expected) : estimateMillis;
  }
}
