package org.plantainknot.bench.cluster;

import org.plantainknot.daemon.settings.HostPort;

/**
 * Data centre, voting role and addresses of one daemon.
 *
 * @param name name of the node
 * @param dataCenter data centre of the node
 * @param voter whether the node is a voter, which needs a data folder
 * @param caller address that serves callers and targets
 * @param operator address that serves operators
 * @param member address that serves the other members
 */
public record NodeLayout(
    String name,
    String dataCenter,
    boolean voter,
    HostPort caller,
    HostPort operator,
    HostPort member) {}
