/**
 * Replicated log: leader election with pre-vote and check-quorum, log replication, snapshots and
 * single-server membership changes.
 *
 * <p>{@link org.plantainknot.core.replica.Replica} is a deterministic state machine that does no
 * I/O and reads no clock: time, messages and completed syncs are passed in, and {@link
 * org.plantainknot.core.replica.Ready} describes what has to be sent, synced and applied. The
 * algorithm follows Ongaro, "Consensus: Bridging Theory and Practice" (2014), chapters 3, 4, 6 and
 * 9.
 */
package org.plantainknot.core.replica;
