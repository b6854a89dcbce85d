package org.plantainknot.core.replica;

/** Record that a member writes to its disk, in order. */
public sealed interface LogRecord {

  /**
   * Term and vote.
   *
   * @param term current term
   * @param votedFor member that got the vote in this term, or null
   */
  record HardState(long term, MemberId votedFor) implements LogRecord {

    /** State of a member that has never taken part in an election. */
    public static final HardState INITIAL = new HardState(0, null);
  }

  /**
   * Entry added at the end of the log.
   *
   * @param entry the entry
   */
  record Appended(Entry entry) implements LogRecord {}

  /**
   * Removal of entries that conflict with the leader's.
   *
   * @param fromIndex first index that is removed
   */
  record Truncated(long fromIndex) implements LogRecord {}

  /**
   * Snapshot received from the leader, which replaces the whole log.
   *
   * @param snapshot the snapshot
   */
  record Installed(Snapshot snapshot) implements LogRecord {}
}
