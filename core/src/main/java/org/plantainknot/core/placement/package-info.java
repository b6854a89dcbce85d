/** Placement of jobs on workers: quotas, size estimates, leases, quarantine and preemption. */
package org.plantainknot.core.placement;
