package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.testng.annotations.Test;

/** Tests the estimator on queues with inaccurate and with accurate estimates. */
public class DurationEstimatorTest {

  private static final int TASKS = 500;
  private static final long MEAN_MILLIS = 1_000;
  private static final double DURATION_SPREAD = 0.5;

  @Test
  void estimateIsReturnedUnchangedWithTooFewSamples() {
    DurationEstimator estimator = new DurationEstimator();
    estimator.addSample("q", 500, 5_000);
    assertEquals(estimator.expectedMillis("q", 500), 500);
  }

  @Test
  void inaccurateEstimatesAreCorrectedTowardsObservedDurations() {
    DurationEstimator estimator = trained(0.9);
    assertTrue(estimator.expectedMillis("q", 4 * MEAN_MILLIS) < 2 * MEAN_MILLIS);
    assertTrue(estimator.expectedMillis("q", MEAN_MILLIS / 4) > MEAN_MILLIS / 2);
  }

  @Test
  void accurateEstimatesAreKept() {
    DurationEstimator estimator = trained(0.01);
    assertEquals(estimator.expectedMillis("q", 3_000), 3_000, 100);
  }

  @Test
  void eachQueueIsLearnedSeparately() {
    assertEquals(trained(0.9).expectedMillis("other", 4_000), 4_000);
  }

  private static DurationEstimator trained(double estimateSpread) {
    DurationEstimator estimator = new DurationEstimator();
    RandomGenerator random = new SplittableRandom(1);
    for (int i = 0; i < TASKS; i++) {
      double duration = MEAN_MILLIS * Math.exp(DURATION_SPREAD * random.nextGaussian());
      double estimate = duration * Math.exp(estimateSpread * random.nextGaussian());
      estimator.addSample("q", Math.round(estimate), Math.round(duration));
    }
    return estimator;
  }
}
