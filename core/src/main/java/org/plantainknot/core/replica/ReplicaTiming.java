package org.plantainknot.core.replica;

/**
 * Timeouts of the replicated log.
 *
 * @param heartbeatMillis interval between the leader's heartbeats
 * @param minElectionTimeoutMillis shortest time without leader contact before a voter starts an
 *     election
 * @param maxElectionTimeoutMillis longest such time; the timeout is drawn at random between the two
 *     each time the timer is reset
 */
public record ReplicaTiming(
    long heartbeatMillis, long minElectionTimeoutMillis, long maxElectionTimeoutMillis) {

  /** Defaults for network latencies of about a millisecond. */
  public static final ReplicaTiming DEFAULT = new ReplicaTiming(100, 600, 1_200);
}
