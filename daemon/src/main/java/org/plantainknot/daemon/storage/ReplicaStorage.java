package org.plantainknot.daemon.storage;

import java.util.List;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.LogRecord;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.core.replica.StoredState;

/** Place where a member keeps its part of the replicated log. */
public interface ReplicaStorage extends AutoCloseable {

  /** Returns the identity that the storage gives to the member. */
  MemberId member();

  /** Returns what was stored before this start. */
  StoredState stored();

  /** Writes records and returns once they are synced. */
  void append(List<LogRecord> records);

  /**
   * Stores a snapshot of the own state, which replaces the entries up to its index.
   *
   * @param snapshot the snapshot
   * @param rest entries after the snapshot
   */
  void compact(Snapshot snapshot, List<Entry> rest);

  @Override
  void close();
}
