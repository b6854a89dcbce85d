/** Logging to standard output with bounded memory, which never blocks the logging threads. */
package org.plantainknot.daemon.log;
