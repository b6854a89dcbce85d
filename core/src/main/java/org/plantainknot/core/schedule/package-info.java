/**
 * Scheduling decisions of the leader: which worker runs which task, when runs are given up and when
 * machines are maintained.
 *
 * <p>The classes are state machines over {@code core.job} that take events and the current time and
 * return actions. They import only {@code core.job} and {@code core.placement.Resources}, and do no
 * I/O.
 */
package org.plantainknot.core.schedule;
