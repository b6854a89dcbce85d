package org.plantainknot.core.replica;

import java.util.List;

/**
 * State that a member loads from its disk on startup.
 *
 * @param hardState current term and vote
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
