package org.plantainknot.daemon.control;

import java.util.List;
import java.util.SortedMap;
import org.plantainknot.core.replica.ReplicaStatus;

/**
 * State of a node, as shown in status reports.
 *
 * @param process identifier of the process
 * @param replica status of the replica on this node
 * @param appliedIndex index of the last applied entry
 * @param logEntries number of log entries after the snapshot
 * @param inOffice whether this member is the leader and has applied the first entry of its term
 * @param leaseLeftMillis remaining validity of the gateway's lease; negative once it has expired
 * @param links for each other member, whether the link to it is up
 * @param pendingCommands number of commands of this process that are not applied yet
 * @param waiting conditions that the leader's rollout duties are waiting for
 */
public record ControlView(
    String process,
    ReplicaStatus replica,
    long appliedIndex,
    int logEntries,
    boolean inOffice,
    long leaseLeftMillis,
    SortedMap<String, Boolean> links,
    int pendingCommands,
    List<String> waiting) {}
