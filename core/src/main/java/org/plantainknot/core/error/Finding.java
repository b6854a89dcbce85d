package org.plantainknot.core.error;

/**
 * Problem found in an input.
 *
 * @param place location in the input, for example {@code vms[3].pool}
 * @param problem description of the problem and, if useful, of a valid value
 */
public record Finding(String place, String problem) {

  @Override
  public String toString() {
    return place + ": " + problem;
  }
}
