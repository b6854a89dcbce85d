package org.plantainknot.core.fleet;

/**
 * Address, location and capacity that a target reports about itself.
 *
 * @param instance identifier that changes with each start of the target
 * @param host address that the target listens on
 * @param port port that the target listens on
 * @param dataCenter data centre of the VM
 * @param rack rack of the VM, unique within the data centre
 * @param slots number of requests that the target runs concurrently
 * @param connections number of connections that the target accepts
 */
public record Announcement(
    String instance,
    String host,
    int port,
    String dataCenter,
    String rack,
    int slots,
    int connections) {}
