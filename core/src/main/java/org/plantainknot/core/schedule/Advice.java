package org.plantainknot.core.schedule;

import java.util.Map;

/**
 * A queue policy's answer about which workers may run a step.
 *
 * @param ticketByWorker tickets of the permitted workers, by worker identifier
 * @param validMillis validity period of the tickets
 */
public record Advice(Map<String, String> ticketByWorker, long validMillis) {

  /** Copies the map. */
  public Advice {
    ticketByWorker = Map.copyOf(ticketByWorker);
  }
}
