package org.plantainknot.core.replica;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.replica.LogRecord.Appended;
import org.plantainknot.core.replica.LogRecord.HardState;
import org.plantainknot.core.replica.LogRecord.Installed;
import org.plantainknot.core.replica.LogRecord.Truncated;

/** Disk that keeps only what was synced when its node crashes. */
final class FakeDisk {

  private final List<LogRecord> written = new ArrayList<>();
  private long writtenToken;
  private HardState hardState = HardState.INITIAL;
  private Snapshot snapshot = Snapshot.EMPTY;
  private final List<Entry> entries = new ArrayList<>();

  void write(List<LogRecord> records, long token) {
    written.addAll(records);
    writtenToken = token;
  }

  /** Syncs all that was written, and returns the token of the last write. */
  long sync() {
    written.forEach(this::keep);
    written.clear();
    return writtenToken;
  }

  /** Loses what was written and not synced, except for some of the first records. */
  void crash(int recordsThatSurvive) {
    written.stream().limit(recordsThatSurvive).forEach(this::keep);
    written.clear();
    writtenToken = 0;
  }

  void compact(Snapshot newer, List<Entry> rest) {
    sync();
    snapshot = newer;
    entries.clear();
    entries.addAll(rest);
  }

  StoredState stored() {
    return new StoredState(hardState, snapshot, entries);
  }

  private void keep(LogRecord logRecord) {
    if (logRecord instanceof HardState state) {
      hardState = state;
    } else if (logRecord instanceof Appended appended) {
      entries.add(appended.entry());
    } else if (logRecord instanceof Truncated truncated) {
      int kept = (int) (truncated.fromIndex() - snapshot.lastIndex() - 1);
      entries.subList(kept, entries.size()).clear();
    } else if (logRecord instanceof Installed installed) {
      snapshot = installed.snapshot();
      entries.clear();
    }
  }
}
