package org.plantainknot.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.Envelope;
import org.plantainknot.core.replica.Ready;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.Snapshot;

/**
 * Processes the replica's output: sends messages, writes records and applies committed entries.
 *
 * <p>Used by the control thread only.
 */
public final class ReplicaDriver {

  /** State machine that the committed entries are applied to. */
  public interface StateMachine {

    /** Replaces the state with that of a snapshot. */
    void restore(byte[] data);

    /** Applies a committed entry. */
    void apply(Entry entry);

    /** Called at the end of each drain, when the committed entries are applied. */
    void onDrained();
  }

  /** Order of disk syncs and outgoing messages. */
  public enum SyncMode {
    /** Messages are sent concurrently with the sync. */
    CONCURRENT_WITH_MESSAGES,
    /** Messages are sent after the sync. */
    BEFORE_MESSAGES,
    /** There is no disk; records count as synced immediately. */
    NONE
  }

  private final Replica replica;
  private final StorageWriter writer;
  private final SyncMode mode;
  private final Consumer<Envelope> sender;
  private final StateMachine state;
  private final SortedMap<Long, List<Envelope>> messagesByToken = new TreeMap<>();

  /** Creates the driver; the writer reports synced tokens to {@link #synced}. */
  public ReplicaDriver(
      Replica replica,
      StorageWriter writer,
      SyncMode mode,
      Consumer<Envelope> sender,
      StateMachine state) {
    this.replica = replica;
    this.writer = writer;
    this.mode = mode;
    this.sender = sender;
    this.state = state;
  }

  /** Processes the replica's output until there is none left. */
  public void drain() {
    processReady();
    state.onDrained();
  }

  private void processReady() {
    for (Ready ready = replica.ready(); !ready.isEmpty(); ready = replica.ready()) {
      boolean sendFirst = mode != SyncMode.BEFORE_MESSAGES || ready.records().isEmpty();
      if (sendFirst) {
        ready.messages().forEach(sender);
      }
      if (!ready.records().isEmpty()) {
        persist(ready, !sendFirst);
      }
      if (ready.restored() != null) {
        state.restore(ready.restored().data());
      }
      ready.committed().forEach(state::apply);
    }
  }

  /**
   * Handles that all records up to a token are on disk; sends messages that waited for them. The
   * next {@link #drain} processes what the replica can do now.
   */
  public void synced(long token) {
    Map<Long, List<Envelope>> due = messagesByToken.headMap(token + 1);
    due.values().forEach(envelopes -> envelopes.forEach(sender));
    due.clear();
    replica.synced(token);
  }

  /**
   * Replaces the applied entries with a snapshot of the state. Entries proposed since the last
   * drain are written first; otherwise they would be on disk twice, once after the snapshot and
   * once as a record.
   */
  public Snapshot compact(long appliedIndex, byte[] data) {
    processReady();
    Snapshot snapshot = replica.compact(appliedIndex, data);
    writer.compact(snapshot, replica.entries());
    return snapshot;
  }

  private void persist(Ready ready, boolean sendAfterSync) {
    if (mode == SyncMode.NONE) {
      replica.synced(ready.syncToken());
    } else {
      writer.write(ready.records(), ready.syncToken());
    }
    if (sendAfterSync) {
      messagesByToken.put(ready.syncToken(), ready.messages());
    }
  }
}
