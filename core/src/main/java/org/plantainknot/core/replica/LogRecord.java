package org.plantainknot.core.replica;

/** Record that a member writes to its disk; records are written in the order produced. */
public sealed interface LogRecord {

  /**
   * Term and vote, which must be durable before the member answers in that term.
   *
   * @param term current term
   * @param votedFor member voted for in this term, or null
   */
  record HardState(long term, MemberId votedFor) implements LogRecord {

    /** State of a member that has never taken part in an election. */
    public static final HardState INITIAL = new HardState(0, null);
  }

  /**
   * Entry appended to the log.
   *
   * @param entry appended entry
   */
  record Appended(Entry entry) implements LogRecord {}

  /**
   * Removal of the entries from an index on, which conflict with the leader's log.
   *
   * @param fromIndex index of the first removed entry
   */
  record Truncated(long fromIndex) implements LogRecord {}

  /**
   * Snapshot from the leader, which replaces the whole log.
   *
   * @param snapshot received snapshot
   */
  record Installed(Snapshot snapshot) implements LogRecord {}
}
