/**
 * Clusters of daemon processes on loopback addresses, for the demo, the measurements and the tests.
 */
package org.plantainknot.bench.cluster;
