package org.plantainknot.core.replica;

import java.util.List;

/**
 * Work that the replica asks its host to carry out.
 *
 * <p>The messages may be sent at once, concurrently with the sync of the records; the replica
 * itself defers messages that depend on a sync. The host calls {@link Replica#synced} with {@code
 * syncToken} when these records and all earlier ones are on disk.
 *
 * @param messages messages to send now
 * @param records records to write and sync, in order
 * @param syncToken token to pass to {@link Replica#synced} once the records are synced
 * @param restored snapshot that replaces the applied state, or null
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
