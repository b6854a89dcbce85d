/** HTTP server for callers, and the routing and execution of their requests. */
package org.plantainknot.daemon.caller;
