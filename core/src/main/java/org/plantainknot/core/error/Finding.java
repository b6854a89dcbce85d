package org.plantainknot.core.error;

/**
 * One thing that is wrong with an input.
 *
 * @param place where in the input, for example {@code vms[3].pool}
 * @param problem what is wrong, and what would be right
 */
public record Finding(String place, String problem) {

  @Override
  public String toString() {
    return place + ": " + problem;
  }
}
