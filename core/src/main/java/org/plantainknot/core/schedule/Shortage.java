package org.plantainknot.core.schedule;

/**
 * Processor capacity that a pool lacked in a planning round.
 *
 * @param urgentMilliCores capacity for work that is persistent or can still meet its objective
 * @param lateMilliCores capacity for late work
 */
record Shortage(long urgentMilliCores, long lateMilliCores) {

  static final Shortage NONE = new Shortage(0, 0);

  /** Returns this shortage increased by work of the given urgency. */
  Shortage plus(Urgency urgency, long milliCores) {
    return urgency.isUrgent()
        ? new Shortage(urgentMilliCores + milliCores, lateMilliCores)
        : new Shortage(urgentMilliCores, lateMilliCores + milliCores);
  }

  boolean isUrgent() {
    return urgentMilliCores > 0;
  }

  long milliCores() {
    return urgentMilliCores + lateMilliCores;
  }
}
