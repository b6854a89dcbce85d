package org.plantainknot.daemon.controller;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.replica.LogSize;
import org.testng.annotations.Test;

/**
 * Tests that a majority of the controllers can commit while the others write snapshots, and that
 * the log is bounded by its bytes.
 */
public class SnapshotThresholdTest {

  private static final int CONTROLLERS = 5;
  private static final int MINORITY = 2;
  private static final int ENTRIES = 400_000;

  /** Entries that arrive while a snapshot is written, at 500 entries a second. */
  private static final int WRITE_ENTRIES = 50;

  /** An eighth of the heap of a controller, which is 192 MB, less a margin. */
  private static final int MAX_LOG_BYTES = 20 << 20;

  @Test
  void aMajorityRarelyWritesSnapshotsAtTheSameTime() {
    List<SnapshotThreshold> thresholds = new ArrayList<>();
    int[] lastSnapshot = new int[CONTROLLERS];
    for (int i = 0; i < CONTROLLERS; i++) {
      thresholds.add(new SnapshotThreshold(i));
    }
    int blocked = 0;
    for (int entry = 1; entry <= ENTRIES; entry++) {
      int writing = 0;
      for (int i = 0; i < CONTROLLERS; i++) {
        if (thresholds.get(i).isExceededBy(new LogSize(entry - lastSnapshot[i], 0, 0))) {
          lastSnapshot[i] = entry;
          thresholds.get(i).redraw();
        }
        boolean isWriting = lastSnapshot[i] > 0 && entry - lastSnapshot[i] < WRITE_ENTRIES;
        writing += isWriting ? 1 : 0;
      }
      blocked += writing > MINORITY ? 1 : 0;
    }
    assertTrue(blocked < ENTRIES / 10_000, blocked + " of " + ENTRIES + " entries were held up");
  }

  /** Guards against a log that fills the heap and the disk with few entries, all of them large. */
  @Test
  void aFewLargeEntriesMakeASnapshotDue() {
    for (int seed = 0; seed < 100; seed++) {
      SnapshotThreshold threshold = new SnapshotThreshold(seed);
      assertTrue(threshold.isExceededBy(new LogSize(1, MAX_LOG_BYTES + 1, 0)), "seed " + seed);
      assertFalse(threshold.isExceededBy(new LogSize(1, MAX_LOG_BYTES / 2, 0)), "seed " + seed);
    }
  }

  @Test
  void aLogThatIsSmallerThanTheSnapshotIsNotReplacedForItsBytes() {
    SnapshotThreshold threshold = new SnapshotThreshold(1);
    assertFalse(threshold.isExceededBy(new LogSize(1, MAX_LOG_BYTES + 1, 2 * MAX_LOG_BYTES)));
    assertTrue(threshold.isExceededBy(new LogSize(1, 2 * MAX_LOG_BYTES + 1, 2 * MAX_LOG_BYTES)));
  }
}
