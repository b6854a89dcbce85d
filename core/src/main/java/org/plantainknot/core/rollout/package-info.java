/** Duties of the leader: starting tickets, moving VMs, watching gateways and targets. */
package org.plantainknot.core.rollout;
