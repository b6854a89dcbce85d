/** The controller: runs the replicated job state, and the scheduler while it is the leader. */
package org.plantainknot.daemon.controller;
