package org.plantainknot.core.schedule;

import java.util.Map;

/**
 * Answer of a queue's policy on the workers that may run a step.
 *
 * @param ticketByWorker ticket of each worker that may, by identifier
 * @param validMillis time for which the tickets are valid
 */
public record Advice(Map<String, String> ticketByWorker, long validMillis) {

  /** Copies the map. */
  public Advice {
    ticketByWorker = Map.copyOf(ticketByWorker);
  }
}
