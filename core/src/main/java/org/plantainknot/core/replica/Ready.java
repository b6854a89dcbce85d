package org.plantainknot.core.replica;

import java.util.List;

/**
 * What a step of the replica asks its host to do.
 *
 * <p>The messages may leave at once, beside the sync of the records; what must wait for a sync is
 * held back by the replica itself. The host calls {@link Replica#synced} with {@code syncToken}
 * when the records, and all earlier ones, are on disk.
 *
 * @param messages messages to send now
 * @param records records to write and sync, in order
 * @param syncToken token to return when the records are synced
 * @param restored snapshot to load in place of the applied state, or null
 * @param committed entries to apply, in order, after {@code restored}
 */
public record Ready(
    List<Envelope> messages,
    List<LogRecord> records,
    long syncToken,
    Snapshot restored,
    List<Entry> committed) {

  /** Returns whether there is nothing to do. */
  public boolean isEmpty() {
    return messages.isEmpty() && records.isEmpty() && restored == null && committed.isEmpty();
  }
}
