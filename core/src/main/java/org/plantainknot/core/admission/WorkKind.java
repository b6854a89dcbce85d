package org.plantainknot.core.admission;

import java.util.Locale;
import java.util.Optional;

/**
 * Kind of work, by urgency; each has a guaranteed share of its service's slots when all kinds are
 * backlogged.
 */
public enum WorkKind {
  /** Work that a person is waiting for, for example at a counter or gate. */
  URGENT(5),
  /** Ordinary work. */
  NORMAL(3),
  /** Work without time pressure. */
  BULK(2);

  private final int weight;

  WorkKind(int weight) {
    this.weight = weight;
  }

  /** Returns the weight that sets the kind's share of the slots relative to the other kinds. */
  public int weight() {
    return weight;
  }

  /** Returns the kind with the name, ignoring case, or empty if there is none. */
  public static Optional<WorkKind> parse(String name) {
    try {
      return Optional.of(valueOf(name.toUpperCase(Locale.ROOT)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
