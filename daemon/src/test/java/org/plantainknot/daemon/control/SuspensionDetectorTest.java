package org.plantainknot.daemon.control;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that time which the monotonic clock doesn't count is noticed, and noticed once. */
public class SuspensionDetectorTest {

  private static final long WALL_MILLIS = 1_000_000;
  private static final long STEP_MILLIS = 20;

  private final SuspensionDetector detector = new SuspensionDetector();

  @Test
  void aSuspensionOfSecondsIsDetectedOnce() {
    assertFalse(detector.observe(0, WALL_MILLIS));
    assertTrue(detector.observe(STEP_MILLIS, WALL_MILLIS + STEP_MILLIS + 4_000));
    assertFalse(detector.observe(2 * STEP_MILLIS, WALL_MILLIS + 2 * STEP_MILLIS + 4_000));
  }

  @Test
  void aLongPauseThatBothClocksCountIsNone() {
    SuspensionDetector paused = new SuspensionDetector();
    assertFalse(paused.observe(0, WALL_MILLIS));
    assertFalse(paused.observe(9_000, WALL_MILLIS + 9_000));
  }

  @Test
  void aSlewedWallClockIsNone() {
    SuspensionDetector slewed = new SuspensionDetector();
    for (long i = 0; i < 10_000; i++) {
      long slewMillis = i * STEP_MILLIS / 1_000;
      assertFalse(slewed.observe(i * STEP_MILLIS, WALL_MILLIS + i * STEP_MILLIS + slewMillis));
    }
  }

  @Test
  void aWallClockThatIsSetBackIsNone() {
    SuspensionDetector setBack = new SuspensionDetector();
    assertFalse(setBack.observe(0, WALL_MILLIS));
    assertFalse(setBack.observe(STEP_MILLIS, WALL_MILLIS - 5_000));
  }
}
