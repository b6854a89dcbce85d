/** The gateway: accepts callers' requests and forwards them to the leader. */
package org.plantainknot.daemon.gateway;
