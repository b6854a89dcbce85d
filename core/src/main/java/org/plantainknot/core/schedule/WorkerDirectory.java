package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.plantainknot.core.job.WorkerIncarnation;

/**
 * Workers as described by their latest heartbeats. Each controller keeps a directory, so that a new
 * leader knows the workers at once.
 *
 * <p>Not thread-safe.
 */
public final class WorkerDirectory {

  /** Time without a heartbeat after which a worker is removed. */
  public static final long EXPIRY_MILLIS = 30_000;

  /**
   * Time after a departure within which a heartbeat was sent before it. A departure doesn't name
   * the incarnation, so heartbeats that go on are those of a later one.
   */
  private static final long MAX_HEARTBEAT_DELAY_MILLIS = 2_000;

  private final Map<String, WorkerHeartbeat> heartbeats = new TreeMap<>();
  private final Map<String, Long> lastHeartbeatAtMillis = new HashMap<>();
  private final Map<String, Long> leftAtMillis = new HashMap<>();

  /**
   * Records a heartbeat, unless it is older than the recorded one or its incarnation has just left.
   *
   * @return whether it was recorded
   */
  public boolean recordHeartbeat(WorkerHeartbeat heartbeat, long nowMillis) {
    String worker = heartbeat.life().worker();
    WorkerHeartbeat known = heartbeats.get(worker);
    if (known != null
        && (!heartbeat.isNewerThan(known) || hasJustLeft(heartbeat.life(), nowMillis))) {
      return false;
    }
    heartbeats.put(worker, heartbeat);
    lastHeartbeatAtMillis.put(worker, nowMillis);
    return true;
  }

  /**
   * Records an incarnation of a known worker that has answered a call and sent no heartbeat yet. It
   * gets no work until its heartbeat tells what it can run.
   */
  void recordRestart(WorkerIncarnation restarted) {
    WorkerHeartbeat known = heartbeats.get(restarted.worker());
    if (known != null && known.life().isEarlierThan(restarted)) {
      heartbeats.put(restarted.worker(), known.restartedAs(restarted));
    }
  }

  /** Records that a worker is leaving now. */
  public void recordDeparture(String worker, long nowMillis) {
    leftAtMillis.put(worker, nowMillis);
    heartbeats.computeIfPresent(worker, (id, known) -> known.withPhase(WorkerPhase.LEFT));
  }

  private boolean hasJustLeft(WorkerIncarnation incarnation, long nowMillis) {
    return hasLeftBy(incarnation, nowMillis)
        && !hasLeftBy(incarnation, nowMillis - MAX_HEARTBEAT_DELAY_MILLIS);
  }

  /**
   * Returns whether an incarnation announced its departure by the given time and has not returned.
   */
  boolean hasLeftBy(WorkerIncarnation incarnation, long byMillis) {
    WorkerHeartbeat known = heartbeats.get(incarnation.worker());
    return known != null
        && known.life().equals(incarnation)
        && known.phase() == WorkerPhase.LEFT
        && leftAtMillis.getOrDefault(incarnation.worker(), Long.MAX_VALUE) <= byMillis;
  }

  /** Removes the workers that have sent no heartbeat for {@link #EXPIRY_MILLIS}. */
  public void removeUnresponsive(long nowMillis) {
    List<String> expired = new ArrayList<>();
    lastHeartbeatAtMillis.forEach(
        (worker, atMillis) -> {
          if (nowMillis - atMillis > EXPIRY_MILLIS) {
            expired.add(worker);
          }
        });
    heartbeats.keySet().removeAll(expired);
    lastHeartbeatAtMillis.keySet().removeAll(expired);
    leftAtMillis.keySet().retainAll(lastHeartbeatAtMillis.keySet());
  }

  /** Returns the latest heartbeat of each worker. */
  public Collection<WorkerHeartbeat> all() {
    return heartbeats.values();
  }

  /** Returns the latest heartbeat of a worker. */
  public Optional<WorkerHeartbeat> find(String worker) {
    return Optional.ofNullable(heartbeats.get(worker));
  }

  /**
   * Returns whether an incarnation is guaranteed to have ended, because a later one exists for its
   * worker. A heartbeat of another worker with the same address proves nothing: if the address is
   * in use again, its new owner refuses the next call.
   */
  public boolean isSuperseded(WorkerIncarnation incarnation) {
    WorkerHeartbeat known = heartbeats.get(incarnation.worker());
    return known != null && known.life().bornMillis() > incarnation.bornMillis();
  }
}
