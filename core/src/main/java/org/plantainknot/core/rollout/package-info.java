/** The leader's rollout logic: starts tickets, moves VMs and monitors gateways and targets. */
package org.plantainknot.core.rollout;
