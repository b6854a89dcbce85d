package org.plantainknot.daemon.controller;

import java.util.SplittableRandom;

/**
 * Log size at which a controller takes its next snapshot.
 *
 * <p>While a snapshot is written, the same disk syncs no entries. All controllers have the same
 * log, so each draws its size at random: then a majority can commit while one of them is writing.
 */
final class SnapshotThreshold {

  private static final int MIN_ENTRIES = 3_000;
  private static final int MAX_ENTRIES = 5_000;

  private final SplittableRandom random;
  private int entries;

  SnapshotThreshold(long seed) {
    this.random = new SplittableRandom(seed);
    redraw();
  }

  /** Returns the number of entries above which a snapshot is due. */
  int entries() {
    return entries;
  }

  /** Draws the size for the snapshot after the current one. */
  void redraw() {
    entries = random.nextInt(MIN_ENTRIES, MAX_ENTRIES + 1);
  }
}
