/** Daemons as processes on loopback addresses, for the demo and the tests. */
package org.plantainknot.bench.cluster;
