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
 * Carries out what the replica asks for: messages, syncs and entries to apply.
 *
 * <p>Used by the control thread only.
 */
public final class ReplicaDriver {

  /** Owner of the state that the log builds up. */
  public interface StateMachine {

    /** Replaces the state by that of a snapshot. */
    void restore(byte[] data);

    /** Applies an entry. */
    void apply(Entry entry);

    /** Follows after messages were sent and entries applied. */
    void settled();
  }

  /** How the driver writes to the disk. */
  public enum SyncMode {
    /** Messages leave beside the sync. */
    BESIDE_MESSAGES,
    /** Messages leave after the sync. */
    BEFORE_MESSAGES,
    /** There is no disk; records count as synced at once. */
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

  /** Carries out what the replica asks for, until it asks for nothing more. */
  public void drain() {
    carryOutAll();
    state.settled();
  }

  private void carryOutAll() {
    for (Ready work = replica.ready(); !work.isEmpty(); work = replica.ready()) {
      boolean sendFirst = mode != SyncMode.BEFORE_MESSAGES || work.records().isEmpty();
      if (sendFirst) {
        work.messages().forEach(sender);
      }
      if (!work.records().isEmpty()) {
        persist(work, !sendFirst);
      }
      if (work.restored() != null) {
        state.restore(work.restored().data());
      }
      work.committed().forEach(state::apply);
    }
  }

  /** Notes that everything up to a token is on disk. */
  public void synced(long token) {
    Map<Long, List<Envelope>> due = messagesByToken.headMap(token + 1);
    due.values().forEach(envelopes -> envelopes.forEach(sender));
    due.clear();
    replica.synced(token);
    drain();
  }

  /**
   * Replaces the applied entries by a snapshot of the state. What was proposed since the last call
   * is written before, or it would be on the disk twice: after the snapshot, and as a record.
   */
  public Snapshot compact(long appliedIndex, byte[] data) {
    carryOutAll();
    Snapshot snapshot = replica.compact(appliedIndex, data);
    writer.compact(snapshot, replica.entries());
    return snapshot;
  }

  private void persist(Ready work, boolean sendAfterwards) {
    if (mode == SyncMode.NONE) {
      replica.synced(work.syncToken());
    } else {
      writer.write(work.records(), work.syncToken());
    }
    if (sendAfterwards) {
      messagesByToken.put(work.syncToken(), work.messages());
    }
  }
}
