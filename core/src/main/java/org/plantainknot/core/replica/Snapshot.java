package org.plantainknot.core.replica;

/**
 * State of the applied log up to an index, which stands in for the entries before it.
 *
 * @param lastIndex index of the last entry that the snapshot covers
 * @param lastTerm term of that entry
 * @param membership membership in force at that entry, or null where none was formed yet
 * @param data encoded state
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, byte[] data) {

  /** The state before the first entry. */
  public static final Snapshot EMPTY = new Snapshot(0, 0, null, new byte[0]);
}
