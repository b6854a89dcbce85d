/** Gateway leases, which determine which gateways may send work to targets and until when. */
package org.plantainknot.core.lease;
