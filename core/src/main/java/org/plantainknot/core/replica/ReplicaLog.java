package org.plantainknot.core.replica;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.replica.LogRecord.Appended;
import org.plantainknot.core.replica.LogRecord.Installed;
import org.plantainknot.core.replica.LogRecord.Truncated;

/** Log entries after the latest snapshot; changes are written to the outbox as records. */
final class ReplicaLog {

  private Snapshot snapshot;
  private final List<Entry> entries;
  private final Outbox outbox;
  private Membership membership;
  private long sizeBytes;

  ReplicaLog(Snapshot snapshot, List<Entry> entries, Outbox outbox) {
    this.snapshot = snapshot;
    this.entries = new ArrayList<>(entries);
    this.outbox = outbox;
    this.membership = membershipAt(lastIndex());
    this.sizeBytes = sizeBytes(this.entries);
  }

  /** Returns the latest membership in the log, committed or not, or null if there is none. */
  Membership membership() {
    return membership;
  }

  Snapshot snapshot() {
    return snapshot;
  }

  long lastIndex() {
    return snapshot.lastIndex() + entries.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  LogSize size() {
    return new LogSize(entries.size(), sizeBytes, snapshot.data().length);
  }

  private static long sizeBytes(List<Entry> entries) {
    return entries.stream().mapToLong(Entry::sizeBytes).sum();
  }

  /** Returns the term at the index, or -1 if it is past the end or compacted. */
  long termAt(long index) {
    if (index == snapshot.lastIndex()) {
      return snapshot.lastTerm();
    }
    return contains(index) ? entryAt(index).term() : -1;
  }

  /** Returns whether a candidate's log is at least as up to date as this one. */
  boolean isUpToDate(long candidateLastIndex, long candidateLastTerm) {
    return candidateLastTerm > lastTerm()
        || (candidateLastTerm == lastTerm() && candidateLastIndex >= lastIndex());
  }

  boolean contains(long index) {
    return index > snapshot.lastIndex() && index <= lastIndex();
  }

  Entry entryAt(long index) {
    return entries.get(offset(index));
  }

  /** Returns the entries from the index on, limited by size but at least one if there are any. */
  List<Entry> from(long index, int maxBytes) {
    List<Entry> slice = new ArrayList<>();
    int bytes = 0;
    for (long i = index; i <= lastIndex(); i++) {
      Entry entry = entryAt(i);
      bytes += entry.sizeBytes();
      if (!slice.isEmpty() && bytes > maxBytes) {
        break;
      }
      slice.add(entry);
    }
    return slice;
  }

  List<Entry> between(long fromIndex, long toIndex) {
    return List.copyOf(entries.subList(offset(fromIndex), offset(toIndex) + 1));
  }

  void append(Entry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new IllegalStateException("entry " + entry.index() + " does not follow " + lastIndex());
    }
    entries.add(entry);
    sizeBytes += entry.sizeBytes();
    outbox.record(new Appended(entry));
    if (entry.membership() != null) {
      membership = entry.membership();
    }
  }

  void truncateFrom(long index) {
    remove(entries.subList(offset(index), entries.size()));
    outbox.record(new Truncated(index));
    membership = membershipAt(lastIndex());
  }

  Snapshot compact(long index, byte[] data) {
    Snapshot compacted = new Snapshot(index, termAt(index), membershipAt(index), data);
    remove(entries.subList(0, offset(index) + 1));
    snapshot = compacted;
    return compacted;
  }

  private void remove(List<Entry> removed) {
    sizeBytes -= sizeBytes(removed);
    removed.clear();
  }

  void install(Snapshot installed) {
    remove(entries);
    snapshot = installed;
    membership = installed.membership();
    outbox.record(new Installed(installed));
  }

  /** Returns the membership in force at the index, or null if there is none. */
  Membership membershipAt(long index) {
    for (long i = Math.min(index, lastIndex()); contains(i); i--) {
      if (entryAt(i).membership() != null) {
        return entryAt(i).membership();
      }
    }
    return snapshot.membership();
  }

  /** Returns whether the membership in force is committed, and the index is of the given term. */
  boolean isMembershipCommitted(long commitIndex, long term) {
    return termAt(commitIndex) == term && membership.equals(membershipAt(commitIndex));
  }

  private int offset(long index) {
    return Math.toIntExact(index - snapshot.lastIndex() - 1);
  }

  /** Adds an entry from the leader, removing uncommitted entries that conflict with it. */
  void merge(Entry entry, long commitIndex) {
    if (entry.index() <= snapshot().lastIndex() || termAt(entry.index()) == entry.term()) {
      return;
    }
    if (contains(entry.index())) {
      if (entry.index() <= commitIndex) {
        throw new IllegalStateException(
            "committed entry " + entry.index() + " conflicts with the leader's");
      }
      truncateFrom(entry.index());
    }
    append(entry);
  }
}
