/** Targets: the HTTP client that runs requests, and the announcements. */
package org.plantainknot.daemon.target;
