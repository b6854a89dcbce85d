/**
 * Requests of callers, workers and operators to the cluster and its replies, independent of the
 * protocol.
 *
 * <p>Depends on {@code core.job} and {@code core.schedule} only, and performs no I/O.
 */
package org.plantainknot.core.call;
