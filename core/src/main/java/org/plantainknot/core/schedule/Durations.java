package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * How long tasks run, learned by queue from those that were done.
 *
 * <p>Answers a load whose estimates are far off: a line through the logarithms of estimates and
 * durations tells how much of an estimate is to be believed, and what it is drawn to. Not
 * thread-safe.
 */
final class Durations {

  private static final int LEAST_TASKS = 30;

  private final Map<String, SimpleRegression> regressionByQueue = new HashMap<>();

  /** Notes that a task was done in one run. */
  void done(String queue, long estimateMillis, long durationMillis) {
    if (estimateMillis > 0 && durationMillis > 0) {
      regressionByQueue
          .computeIfAbsent(queue, name -> new SimpleRegression())
          .addData(Math.log(estimateMillis), Math.log(durationMillis));
    }
  }

  /** Returns the duration to expect, which is the estimate as long as little is known. */
  long expectedMillis(String queue, long estimateMillis) {
    SimpleRegression line = regressionByQueue.get(queue);
    if (line == null || line.getN() < LEAST_TASKS || estimateMillis <= 0) {
      return estimateMillis;
    }
    double expected = Math.exp(line.predict(Math.log(estimateMillis)));
    return Double.isFinite(expected) ? Math.round(expected) : estimateMillis;
  }
}
