/** Callers: the HTTP server, and the run of each request. */
package org.plantainknot.daemon.caller;
