package org.plantainknot.core.schedule;

/** Readiness of a worker, as announced by the worker. */
public enum WorkerPhase {
  /** Accepts work. */
  READY,
  /** Will leave soon; accepts no new work. */
  DRAINING,
  /** Has announced that it is leaving now. */
  LEFT
}
