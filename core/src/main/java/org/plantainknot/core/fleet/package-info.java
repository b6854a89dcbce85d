/** VMs, pools, services and availability budgets, as the replicated log has them. */
package org.plantainknot.core.fleet;
