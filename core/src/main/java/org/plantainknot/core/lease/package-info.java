/** Leases of the gateways: who may give work to targets, and until when. */
package org.plantainknot.core.lease;
