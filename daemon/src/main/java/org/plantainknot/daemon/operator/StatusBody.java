package org.plantainknot.daemon.operator;

import java.util.List;

/**
 * Status of a node and its fleet, as shown to operators.
 *
 * @param node name of the node that answers
 * @param role its role in the replicated log
 * @param leader name of the leader's node, or null if unknown
 * @param leaseHeld whether the node's gateway holds a lease, which guarantees that the status is
 *     current
 * @param gateways number of live gateways
 * @param vms number of known VMs
 * @param announcedVms number of VMs with a current announcement
 * @param unnamedVms names of the VMs that have announced themselves but are named in no ticket
 * @param services status of each service
 * @param waiting conditions that the leader waits for; empty on other nodes
 */
public record StatusBody(
    String node,
    String role,
    String leader,
    boolean leaseHeld,
    int gateways,
    int vms,
    long announcedVms,
    List<String> unnamedVms,
    List<ServiceStatus> services,
    List<String> waiting) {}
