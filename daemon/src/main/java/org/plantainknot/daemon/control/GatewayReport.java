package org.plantainknot.daemon.control;

import java.util.Map;
import java.util.Set;

/**
 * Gateway state that is sent to the leader with each lease request.
 *
 * @param settled whether the gateway stays within its current shares
 * @param busyVms VMs that receive no new requests but are still serving requests of this gateway
 * @param instanceByVm instance of each target that has announced itself since the last report, by
 *     VM
 */
public record GatewayReport(
    boolean settled, Set<String> busyVms, Map<String, String> instanceByVm) {}
