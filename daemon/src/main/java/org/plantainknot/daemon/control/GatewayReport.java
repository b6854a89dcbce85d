package org.plantainknot.daemon.control;

import java.util.Map;
import java.util.Set;

/**
 * What the gateway tells the leader with each request for a lease.
 *
 * @param settled whether it uses no more than its shares
 * @param busyVms VMs that get no new work but still run its requests
 * @param instanceByVm targets that announced themselves since the last report
 */
public record GatewayReport(
    boolean settled, Set<String> busyVms, Map<String, String> instanceByVm) {}
