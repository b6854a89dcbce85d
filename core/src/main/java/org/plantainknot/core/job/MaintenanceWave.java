package org.plantainknot.core.job;

import java.util.List;

/**
 * Request of the operators to maintain a set of machines.
 *
 * @param number number assigned by the operators
 * @param machines machines, each of which is to be maintained once
 * @param durationMillis time within which the maintenance of all machines should be done
 * @param maxDown maximum number of machines that may be down for the wave at the same time
 */
public record MaintenanceWave(
    long number, List<String> machines, long durationMillis, int maxDown) {

  /** Makes a defensive copy of the list. */
  public MaintenanceWave {
    machines = List.copyOf(machines);
  }
}
