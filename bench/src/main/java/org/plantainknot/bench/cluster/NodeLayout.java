package org.plantainknot.bench.cluster;

import org.plantainknot.daemon.settings.HostPort;

/**
 * Place and addresses of one daemon.
 *
 * @param name name of the node
 * @param dataCenter data centre
 * @param voter whether it has a data folder
 * @param caller address for callers and targets
 * @param operator address for operators
 * @param member address for the other members
 */
public record NodeLayout(
    String name,
    String dataCenter,
    boolean voter,
    HostPort caller,
    HostPort operator,
    HostPort member) {}
