package org.plantainknot.core.admission;

import java.util.Locale;
import java.util.Optional;

/** Kind of work, by urgency; each keeps a part of its service's slots when all kinds flood in. */
public enum WorkKind {
  /** Someone waits at a counter or a gate. */
  URGENT(5),
  /** Ordinary work. */
  NORMAL(3),
  /** Work that can be done at any time. */
  BULK(2);

  private final int weight;

  WorkKind(int weight) {
    this.weight = weight;
  }

  /** Returns the part of the slots that the kind keeps, relative to the other kinds. */
  public int weight() {
    return weight;
  }

  /** Returns the kind with the name in any case, or empty if there is none. */
  public static Optional<WorkKind> parse(String name) {
    try {
      return Optional.of(valueOf(name.toUpperCase(Locale.ROOT)));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
