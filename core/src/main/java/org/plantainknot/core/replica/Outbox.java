package org.plantainknot.core.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Collects the output of a step, and defers messages that must not precede a sync. */
final class Outbox {

  private record Deferred(long token, Envelope envelope) {}

  private List<Envelope> messages = new ArrayList<>();
  private List<LogRecord> records = new ArrayList<>();
  private List<Entry> committed = new ArrayList<>();
  private Snapshot restored;
  private final Deque<Deferred> deferred = new ArrayDeque<>();
  private long writtenToken;
  private long syncedToken;

  void send(MemberId receiver, Message message) {
    messages.add(new Envelope(receiver, message));
  }

  /** Sends a message once all records written so far are synced. */
  void sendAfterSync(MemberId receiver, Message message) {
    if (syncedToken >= writtenToken) {
      send(receiver, message);
    } else {
      deferred.add(new Deferred(writtenToken, new Envelope(receiver, message)));
    }
  }

  void record(LogRecord logRecord) {
    writtenToken++;
    records.add(logRecord);
  }

  void commit(List<Entry> entries) {
    committed.addAll(entries);
  }

  void restore(Snapshot snapshot) {
    committed.clear();
    restored = snapshot;
  }

  void synced(long token) {
    syncedToken = Math.max(syncedToken, token);
    while (!deferred.isEmpty() && deferred.peek().token() <= syncedToken) {
      messages.add(deferred.remove().envelope());
    }
  }

  long writtenToken() {
    return writtenToken;
  }

  Ready drain() {
    Ready ready = new Ready(messages, records, writtenToken, restored, committed);
    messages = new ArrayList<>();
    records = new ArrayList<>();
    committed = new ArrayList<>();
    restored = null;
    return ready;
  }
}
