package org.plantainknot.core.replica;

/**
 * Times of the replicated log.
 *
 * @param heartbeatMillis interval between the leader's heartbeats
 * @param electionMinMillis least silence of the leader after which a voter stands for election
 * @param electionMaxMillis greatest such silence; the value is drawn anew for each election
 */
public record ReplicaTiming(long heartbeatMillis, long electionMinMillis, long electionMaxMillis) {

  /** Times for links of about a millisecond. */
  public static final ReplicaTiming DEFAULT = new ReplicaTiming(100, 600, 1_200);
}
