package org.plantainknot.core.replica;

import java.util.List;

/**
 * What a member finds on its disk when it starts.
 *
 * @param hardState term and vote
 * @param snapshot latest snapshot
 * @param entries entries after the snapshot
 */
public record StoredState(LogRecord.HardState hardState, Snapshot snapshot, List<Entry> entries) {

  /** State of an empty disk. */
  public static final StoredState EMPTY =
      new StoredState(LogRecord.HardState.INITIAL, Snapshot.EMPTY, List.of());

  /** Copies the entries. */
  public StoredState {
    entries = List.copyOf(entries);
  }
}
