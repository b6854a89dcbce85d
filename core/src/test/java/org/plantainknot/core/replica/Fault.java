package org.plantainknot.core.replica;

/** Faults injected to check that the oracle of {@link FakeCluster} detects them. */
enum Fault {
  /** No fault. */
  NONE,
  /** A node whose disk was wiped continues with the same member identity. */
  WIPED_DISK_KEEPS_IDENTITY,
  /** Records are reported as synced as soon as they are written. */
  ACKNOWLEDGE_BEFORE_SYNC,
  /** A lease starts when the grant arrives instead of when the request was sent. */
  LEASE_STARTS_AT_GRANT_ARRIVAL,
  /** The leader grants leases without confirming its leadership with a majority. */
  LEASE_WITHOUT_QUORUM
}
