package org.plantainknot.daemon.operator;

import java.util.List;

/**
 * Overview for operators.
 *
 * @param node node that answers
 * @param role its role in the replicated log
 * @param leader node that leads, or null
 * @param leaseHeld whether the node's gateway may work, so that the overview is current
 * @param gateways number of live gateways
 * @param vms number of known VMs
 * @param announcedVms number of VMs that announce themselves
 * @param unnamedVms VMs that announce themselves and that no ticket names
 * @param services state of each service
 * @param waiting what the leader waits for, empty on other nodes
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
