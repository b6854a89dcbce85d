package org.plantainknot.core.schedule;

/** Readiness of a worker. */
public enum WorkerPhase {
  /** Accepts work. */
  READY,
  /** Will leave soon; accepts no new work. */
  DRAINING,
  /** Has announced that it is leaving now. */
  LEFT,
  /** Has answered a call as a later incarnation that has sent no heartbeat yet. */
  RESTARTED
}
