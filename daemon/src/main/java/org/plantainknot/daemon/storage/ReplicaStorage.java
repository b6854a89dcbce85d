package org.plantainknot.daemon.storage;

import java.util.List;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.LogRecord;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.core.replica.StoredState;

/** Storage of a member's replica of the log. */
public interface ReplicaStorage extends AutoCloseable {

  /** Returns the identity of the member, which comes from the storage. */
  MemberId member();

  /** Returns the state that was stored when the storage was opened. */
  StoredState stored();

  /** Appends records and returns once they are synced. */
  void append(List<LogRecord> records);

  /**
   * Stores a snapshot of this member's state, which replaces the entries up to its index.
   *
   * @param snapshot the snapshot
   * @param remaining entries after the snapshot
   */
  void compact(Snapshot snapshot, List<Entry> remaining);

  @Override
  void close();
}
