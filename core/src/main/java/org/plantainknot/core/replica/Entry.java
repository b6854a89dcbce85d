package org.plantainknot.core.replica;

/**
 * Entry of the replicated log: a command, a membership change, or neither (a no-op).
 *
 * @param index position in the log, from 1
 * @param term term in which the leader appended the entry
 * @param command encoded command, or null
 * @param membership membership in force from this entry on, or null
 */
public record Entry(long index, long term, byte[] command, Membership membership) {

  /** Returns an entry that carries a command. */
  public static Entry ofCommand(long index, long term, byte[] command) {
    return new Entry(index, term, command, null);
  }

  /** Returns an entry that changes the membership. */
  public static Entry ofMembership(long index, long term, Membership membership) {
    return new Entry(index, term, null, membership);
  }

  /** Returns the no-op entry that a leader appends at the start of its term. */
  public static Entry noOp(long index, long term) {
    return new Entry(index, term, null, null);
  }

  /** Returns whether the entry carries a command. */
  public boolean hasCommand() {
    return command != null;
  }

  /** Returns the approximate size of the entry in bytes. */
  public int sizeBytes() {
    return 32 + (command == null ? 0 : command.length);
  }
}
