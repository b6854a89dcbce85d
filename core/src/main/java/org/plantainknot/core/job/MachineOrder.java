package org.plantainknot.core.job;

/**
 * Order to the platform to maintain a machine or to move it to another pool.
 *
 * @param machine name of the machine
 * @param wave number of the wave for which the machine is maintained, or 0 for a move
 * @param pool pool to which the machine moves, or an empty string for maintenance
 */
public record MachineOrder(String machine, long wave, String pool) {

  /** Returns whether the order moves the machine to another pool. */
  public boolean isMove() {
    return !pool.isEmpty();
  }
}
