package org.plantainknot.daemon.controller;

import java.util.SplittableRandom;
import org.plantainknot.core.replica.LogSize;

/**
 * Log size at which a controller takes its next snapshot, in entries and in bytes.
 *
 * <p>The bytes bound what the log takes on the disk and in memory, however large its entries are. A
 * log that is smaller than the latest snapshot is not replaced for its bytes: writing the snapshot
 * would cost more than it saves.
 *
 * <p>While a snapshot is written, the same disk syncs no entries. All controllers have the same
 * log, so each draws its size at random: then a majority can commit while one of them is writing.
 */
final class SnapshotThreshold {

  private static final int MIN_ENTRIES = 3_000;
  private static final int MAX_ENTRIES = 5_000;
  private static final int MIN_BYTES = 12 << 20;
  private static final int MAX_BYTES = 20 << 20;

  private final SplittableRandom random;
  private int entries;
  private long bytes;

  SnapshotThreshold(long seed) {
    this.random = new SplittableRandom(seed);
    redraw();
  }

  /** Returns whether a snapshot is due for a log of the given size. */
  boolean isExceededBy(LogSize log) {
    return log.entries() > entries || log.bytes() > Math.max(bytes, log.snapshotBytes());
  }

  /** Draws the size for the snapshot after the current one. */
  void redraw() {
    entries = random.nextInt(MIN_ENTRIES, MAX_ENTRIES + 1);
    bytes = random.nextLong(MIN_BYTES, MAX_BYTES + 1L);
  }
}
