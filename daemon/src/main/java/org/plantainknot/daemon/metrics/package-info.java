/** Counters and histograms of a process; imports only core and the metrics library. */
package org.plantainknot.daemon.metrics;
