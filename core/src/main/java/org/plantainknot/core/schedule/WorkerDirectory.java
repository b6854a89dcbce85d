package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.plantainknot.core.job.WorkerLife;

/**
 * Workers as their heartbeats describe them; kept by each controller, so that a new leader knows
 * them.
 *
 * <p>Not thread-safe.
 */
public final class WorkerDirectory {

  /** Silence after which a worker is forgotten. */
  public static final long FORGET_MILLIS = 30_000;

  private final Map<String, WorkerHeartbeat> heartbeats = new TreeMap<>();
  private final Map<String, Long> heardAtMillis = new HashMap<>();
  private final Map<String, Long> leftAtMillis = new HashMap<>();
  private final Map<String, Long> latestBornMillisByAddress = new HashMap<>();

  /**
   * Takes a heartbeat.
   *
   * @return whether it was newer than what was known
   */
  public boolean heard(WorkerHeartbeat heartbeat, long nowMillis) {
    String worker = heartbeat.life().worker();
    WorkerHeartbeat known = heartbeats.get(worker);
    if (known != null && !heartbeat.isNewerThan(known)) {
      return false;
    }
    heartbeats.put(worker, heartbeat);
    latestBornMillisByAddress.merge(heartbeat.address(), heartbeat.life().bornMillis(), Math::max);
    heardAtMillis.put(worker, nowMillis);
    return true;
  }

  /** Notes that a worker leaves now. */
  public void left(String worker, long nowMillis) {
    leftAtMillis.put(worker, nowMillis);
    heartbeats.computeIfPresent(worker, (id, known) -> known.withPhase(WorkerPhase.LEFT));
  }

  /** Returns whether a life has said by the given time that it leaves, and not come back. */
  boolean isLeftSince(WorkerLife life, long byMillis) {
    WorkerHeartbeat known = heartbeats.get(life.worker());
    return known != null
        && known.life().equals(life)
        && known.phase() == WorkerPhase.LEFT
        && leftAtMillis.getOrDefault(life.worker(), Long.MAX_VALUE) <= byMillis;
  }

  /** Forgets workers that were silent for long. */
  public void forgetSilent(long nowMillis) {
    List<String> silent = new ArrayList<>();
    heardAtMillis.forEach(
        (worker, atMillis) -> {
          if (nowMillis - atMillis > FORGET_MILLIS) {
            silent.add(worker);
          }
        });
    heartbeats.keySet().removeAll(silent);
    heardAtMillis.keySet().removeAll(silent);
    leftAtMillis.keySet().retainAll(heardAtMillis.keySet());
  }

  /** Returns the workers that are known. */
  public Collection<WorkerHeartbeat> all() {
    return heartbeats.values();
  }

  /** Returns what is known of a worker. */
  public Optional<WorkerHeartbeat> find(String worker) {
    return Optional.ofNullable(heartbeats.get(worker));
  }

  /**
   * Returns whether a life is surely over, because its worker or its address has begun a later one.
   */
  public boolean isOver(WorkerLife life, String address) {
    WorkerHeartbeat known = heartbeats.get(life.worker());
    boolean reborn = known != null && known.life().bornMillis() > life.bornMillis();
    return reborn || latestBornMillisByAddress.getOrDefault(address, 0L) > life.bornMillis();
  }
}
