package org.plantainknot.bench.standin;

/**
 * Address and failure domains of a target.
 *
 * @param vm name of the VM
 * @param host host that the target listens on
 * @param port port that the target listens on
 * @param dataCenter data centre of the VM
 * @param rack rack of the VM
 */
public record TargetLocation(String vm, String host, int port, String dataCenter, String rack) {}
