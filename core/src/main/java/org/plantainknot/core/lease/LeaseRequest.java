package org.plantainknot.core.lease;

import java.util.Set;

/**
 * Lease request of a gateway, with the progress report that the leader waits for.
 *
 * @param node name of the gateway's node
 * @param process identifier of the gateway's process
 * @param sequence sequence number of the request
 * @param appliedIndex index up to which the gateway has applied the log
 * @param sharesVersion version of the slot shares to which the gateway has reduced its usage
 * @param busyVms VMs that get no new requests but still run requests of this gateway
 * @param stopping whether the gateway is stopping and no longer needs a lease
 */
public record LeaseRequest(
    String node,
    String process,
    long sequence,
    long appliedIndex,
    long sharesVersion,
    Set<String> busyVms,
    boolean stopping) {

  /** Makes a defensive copy of the set. */
  public LeaseRequest {
    busyVms = Set.copyOf(busyVms);
  }
}
