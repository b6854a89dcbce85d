/**
 * Replicated log: leader election with pre-vote and check-quorum, log replication, snapshots and
 * one-at-a-time membership change.
 *
 * <p>{@link org.plantainknot.core.replica.Replica} is a pure step function. It does no I/O and
 * reads no clock: time, messages and completed syncs are passed in, and {@link
 * org.plantainknot.core.replica.Ready} carries out what has to be sent, synced and applied. The
 * algorithm follows Ongaro, "Consensus: Bridging Theory and Practice" (2014), chapters 3, 4, 6 and
 * 9.
 */
package org.plantainknot.core.replica;
