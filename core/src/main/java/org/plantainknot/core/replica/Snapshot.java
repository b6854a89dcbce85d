package org.plantainknot.core.replica;

/**
 * State after applying the log up to an index; replaces the entries it covers.
 *
 * @param lastIndex index of the last entry that the snapshot covers
 * @param lastTerm term of the entry at {@code lastIndex}
 * @param membership membership in force at {@code lastIndex}, or null before the cluster was formed
 * @param data encoded state of the host
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, byte[] data) {

  /** State before the first entry. */
  public static final Snapshot EMPTY = new Snapshot(0, 0, null, new byte[0]);
}
