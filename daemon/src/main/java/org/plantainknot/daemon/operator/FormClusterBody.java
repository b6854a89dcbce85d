package org.plantainknot.daemon.operator;

import java.util.List;

/**
 * Request body of the command that forms a new cluster.
 *
 * @param voters names of the nodes that become voters
 */
public record FormClusterBody(List<String> voters) {}
