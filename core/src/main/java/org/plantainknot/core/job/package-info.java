/**
 * Jobs and the replicated job state: which jobs were accepted, to which worker each task was
 * assigned and how its runs ended.
 *
 * <p>Depends on {@code core.error} and {@code core.placement.Resources} only, and performs no I/O.
 */
package org.plantainknot.core.job;
