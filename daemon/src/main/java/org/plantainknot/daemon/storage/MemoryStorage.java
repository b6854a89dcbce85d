package org.plantainknot.daemon.storage;

import java.util.List;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.LogRecord;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.core.replica.StoredState;

/**
 * Storage of a member that doesn't vote: stores nothing, so each start begins with an empty log.
 */
public final class MemoryStorage implements ReplicaStorage {

  private final MemberId member;

  /**
   * Creates the storage of a process.
   *
   * @param node name of the node
   * @param process identifier of the process, which serves as the member's incarnation
   */
  public MemoryStorage(String node, String process) {
    this.member = new MemberId(node, process);
  }

  @Override
  public MemberId member() {
    return member;
  }

  @Override
  public StoredState stored() {
    return StoredState.EMPTY;
  }

  @Override
  public void append(List<LogRecord> records) {}

  @Override
  public void compact(Snapshot snapshot, List<Entry> remaining) {}

  @Override
  public void close() {}
}
