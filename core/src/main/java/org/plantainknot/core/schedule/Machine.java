package org.plantainknot.core.schedule;

import java.util.List;

/**
 * Machine as listed by the platform.
 *
 * @param name name of the machine
 * @param pool service that it belongs to
 * @param state its state
 * @param labels its kind and its rack
 * @param worker identifier of its worker, or an empty string
 */
public record Machine(
    String name, String pool, MachineState state, List<String> labels, String worker) {

  /** Copies the labels. */
  public Machine {
    labels = List.copyOf(labels);
  }
}
