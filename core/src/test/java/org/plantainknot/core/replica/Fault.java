package org.plantainknot.core.replica;

/** Faults that are put in on purpose, to see that the oracle finds them. */
enum Fault {
  /** Nothing is wrong. */
  NONE,
  /** A node whose disk was emptied goes on as the member that it was. */
  EMPTY_DISK_VOTES_AT_ONCE,
  /** Records count as synced as soon as they are written. */
  ACKNOWLEDGE_BEFORE_SYNC,
  /** A lease is counted from the arrival of the answer, not from the sending of the request. */
  LEASE_FROM_ARRIVAL,
  /** The leader answers requests for leases without asking a majority whether it still leads. */
  LEASE_WITHOUT_QUORUM
}
