package org.plantainknot.core.replica;

/**
 * Size of a member's log.
 *
 * @param entries number of entries after the latest snapshot
 * @param bytes approximate size of these entries in bytes
 * @param snapshotBytes size of the latest snapshot in bytes
 */
public record LogSize(int entries, long bytes, int snapshotBytes) {}
