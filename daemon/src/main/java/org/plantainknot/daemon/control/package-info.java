/** Runs the replicated log and state: threads, storage, links and the leader's duties. */
package org.plantainknot.daemon.control;
