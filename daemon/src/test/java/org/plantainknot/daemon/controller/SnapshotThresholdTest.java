package org.plantainknot.daemon.controller;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests that a majority of the controllers can commit while the others write snapshots. */
public class SnapshotThresholdTest {

  private static final int CONTROLLERS = 5;
  private static final int MINORITY = 2;
  private static final int ENTRIES = 400_000;

  /** Entries that arrive while a snapshot is written, at 500 entries a second. */
  private static final int WRITE_ENTRIES = 50;

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
        if (entry - lastSnapshot[i] > thresholds.get(i).entries()) {
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
}
