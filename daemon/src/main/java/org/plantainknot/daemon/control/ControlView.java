package org.plantainknot.daemon.control;

import java.util.List;
import java.util.SortedMap;
import org.plantainknot.core.replica.ReplicaStatus;

/**
 * View of a node for reports.
 *
 * @param process identifier of the process
 * @param replica member of the replicated log
 * @param appliedIndex index of the last entry applied
 * @param logEntries number of entries after the snapshot
 * @param inOffice whether this member leads and has applied its first entry
 * @param leaseLeftMillis time for which the gateway's lease still holds; negative if it doesn't
 * @param links whether a link to each other member is up
 * @param pendingCommands commands of this process that are on their way
 * @param waiting what the leader's duties wait for
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
