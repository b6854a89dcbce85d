package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.testng.annotations.Test;

/** Replays queues whose estimates are far off, or good. */
public class DurationsTest {

  private static final int TASKS = 500;
  private static final long MEAN_MILLIS = 1_000;
  private static final double DURATION_SPREAD = 0.5;

  @Test
  void littleIsKnownAtFirstSoThatEstimatesAreBelieved() {
    Durations durations = new Durations();
    durations.done("q", 500, 5_000);
    assertEquals(durations.expectedMillis("q", 500), 500);
  }

  @Test
  void estimatesThatAreFarOffAreDrawnToWhatTheQueueShows() {
    Durations durations = learned(0.9);
    assertTrue(durations.expectedMillis("q", 4 * MEAN_MILLIS) < 2 * MEAN_MILLIS);
    assertTrue(durations.expectedMillis("q", MEAN_MILLIS / 4) > MEAN_MILLIS / 2);
  }

  @Test
  void goodEstimatesAreBelieved() {
    Durations durations = learned(0.01);
    assertEquals(durations.expectedMillis("q", 3_000), 3_000, 100);
  }

  @Test
  void aQueueTellsNothingOfAnother() {
    assertEquals(learned(0.9).expectedMillis("other", 4_000), 4_000);
  }

  private static Durations learned(double estimateSpread) {
    Durations durations = new Durations();
    RandomGenerator random = new SplittableRandom(1);
    for (int i = 0; i < TASKS; i++) {
      double duration = MEAN_MILLIS * Math.exp(DURATION_SPREAD * random.nextGaussian());
      double estimate = duration * Math.exp(estimateSpread * random.nextGaussian());
      durations.done("q", Math.round(estimate), Math.round(duration));
    }
    return durations;
  }
}
