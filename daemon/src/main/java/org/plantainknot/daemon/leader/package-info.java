/** Calls to the leader from the other processes of the cluster, and leader discovery. */
package org.plantainknot.daemon.leader;
