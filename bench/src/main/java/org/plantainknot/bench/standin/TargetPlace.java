package org.plantainknot.bench.standin;

/**
 * Where a target stands.
 *
 * @param vm name of the VM
 * @param host address that it listens on
 * @param port port that it listens on
 * @param dataCenter data centre
 * @param rack rack
 */
public record TargetPlace(String vm, String host, int port, String dataCenter, String rack) {}
