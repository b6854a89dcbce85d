package org.plantainknot.core.replica;

import java.util.List;
import org.plantainknot.core.replica.Message.Append;
import org.plantainknot.core.replica.Message.InstallSnapshot;

/**
 * Sends a leader's entries to other members, or the snapshot to members that need entries which the
 * log no longer holds. Not thread-safe.
 */
final class Appender {

  private static final int MAX_APPEND_BYTES = 1 << 20;

  /**
   * What each message of a leader tells beside its entries.
   *
   * @param term the leader's term
   * @param round heartbeat round that the message belongs to
   * @param commitIndex the leader's commit index
   */
  record Header(long term, long round, long commitIndex) {}

  private final ReplicaLog log;
  private final Outbox outbox;
  private final ReplicaTiming timing;

  Appender(ReplicaLog log, Outbox outbox, ReplicaTiming timing) {
    this.log = log;
    this.outbox = outbox;
    this.timing = timing;
  }

  /** Sends the entries after those sent before; without any only if the message is wanted empty. */
  void send(MemberId peer, Progress progress, Header header, boolean sendIfEmpty, long nowMillis) {
    long previous = progress.nextIndex() - 1;
    if (previous < log.snapshot().lastIndex()) {
      sendSnapshot(peer, progress, header, nowMillis);
      return;
    }
    List<Entry> entries = log.from(progress.nextIndex(), MAX_APPEND_BYTES);
    if (entries.isEmpty() && !sendIfEmpty) {
      return;
    }
    progress.recordSent(previous + entries.size());
    outbox.send(
        peer,
        new Append(
            header.term(),
            header.round(),
            previous,
            log.termAt(previous),
            entries,
            header.commitIndex()));
  }

  private void sendSnapshot(MemberId peer, Progress progress, Header header, long nowMillis) {
    if (nowMillis - progress.snapshotSentAtMillis() < timing.minElectionTimeoutMillis()) {
      return;
    }
    progress.recordSnapshotSent(log.snapshot().lastIndex(), nowMillis);
    outbox.send(peer, new InstallSnapshot(header.term(), header.round(), log.snapshot()));
  }
}
