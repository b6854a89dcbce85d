/** Replicated state of VMs, pools and services, and the checks of availability budgets. */
package org.plantainknot.core.fleet;
