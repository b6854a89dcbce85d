package org.plantainknot.daemon.operator;

import java.util.List;

/**
 * Order to form a new cluster.
 *
 * @param voters nodes that vote
 */
public record FormBody(List<String> voters) {}
