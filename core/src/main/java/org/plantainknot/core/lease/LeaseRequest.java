package org.plantainknot.core.lease;

import java.util.Set;

/**
 * A gateway's request for a lease, with what the leader waits for.
 *
 * @param node name of the gateway's node
 * @param process identifier of the gateway's process
 * @param sequence number of the request
 * @param appliedIndex index up to which the gateway has applied the log
 * @param sharesVersion division of slots down to which the gateway has come
 * @param busyVms VMs that are not serving but still run requests of this gateway
 * @param stopping whether the gateway is stopping and needs no lease
 */
public record LeaseRequest(
    String node,
    String process,
    long sequence,
    long appliedIndex,
    long sharesVersion,
    Set<String> busyVms,
    boolean stopping) {

  /** Copies the set. */
  public LeaseRequest {
    busyVms = Set.copyOf(busyVms);
  }
}
