package org.plantainknot.core.replica;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.replica.LogRecord.Appended;
import org.plantainknot.core.replica.LogRecord.HardState;
import org.plantainknot.core.replica.LogRecord.Installed;
import org.plantainknot.core.replica.LogRecord.Truncated;

/** In-memory disk that loses unsynced records when its node crashes. */
final class FakeDisk {

  private final List<LogRecord> unsynced = new ArrayList<>();
  private long writtenToken;
  private HardState hardState = HardState.INITIAL;
  private Snapshot snapshot = Snapshot.EMPTY;
  private final List<Entry> entries = new ArrayList<>();

  void write(List<LogRecord> records, long token) {
    unsynced.addAll(records);
    writtenToken = token;
  }

  /** Syncs all written records, and returns the token of the last write. */
  long sync() {
    unsynced.forEach(this::persist);
    unsynced.clear();
    return writtenToken;
  }

  /** Loses the unsynced records, except for a prefix of the given length. */
  void crash(int survivingRecords) {
    unsynced.stream().limit(survivingRecords).forEach(this::persist);
    unsynced.clear();
    writtenToken = 0;
  }

  void compact(Snapshot newSnapshot, List<Entry> remainingEntries) {
    sync();
    snapshot = newSnapshot;
    entries.clear();
    entries.addAll(remainingEntries);
  }

  StoredState stored() {
    return new StoredState(hardState, snapshot, entries);
  }

  private void persist(LogRecord logRecord) {
    if (logRecord instanceof HardState state) {
      hardState = state;
    } else if (logRecord instanceof Appended appended) {
      entries.add(appended.entry());
    } else if (logRecord instanceof Truncated truncated) {
      int remaining = (int) (truncated.fromIndex() - snapshot.lastIndex() - 1);
      entries.subList(remaining, entries.size()).clear();
    } else if (logRecord instanceof Installed installed) {
      snapshot = installed.snapshot();
      entries.clear();
    }
  }
}
