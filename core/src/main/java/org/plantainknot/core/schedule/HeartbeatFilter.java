package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which heartbeats the leader passes on to the other controllers.
 *
 * <p>Answers the load of many workers whose heartbeats differ in their sequence numbers only: such
 * a heartbeat is passed on so often that no controller takes its worker for gone. Not thread-safe.
 */
public final class HeartbeatFilter {

  private static final long REFRESH_MILLIS = WorkerDirectory.EXPIRY_MILLIS / 6;

  private record Forwarded(WorkerHeartbeat heartbeat, long atMillis) {}

  private final Map<String, Forwarded> forwardedByWorker = new HashMap<>();

  /** Returns whether to pass a heartbeat on, and if so records that it was. */
  public boolean pass(WorkerHeartbeat heartbeat, long nowMillis) {
    Forwarded earlier = forwardedByWorker.get(heartbeat.life().worker());
    boolean due =
        earlier == null
            || !heartbeat.isSameButForSequence(earlier.heartbeat())
            || nowMillis - earlier.atMillis() >= REFRESH_MILLIS;
    if (due) {
      forwardedByWorker.put(heartbeat.life().worker(), new Forwarded(heartbeat, nowMillis));
    }
    return due;
  }

  /** Passes the next heartbeat of each worker, since a controller may have missed earlier ones. */
  public void reset() {
    forwardedByWorker.clear();
  }

  /** Forgets workers of which no heartbeat was passed on for as long as a directory keeps them. */
  public void removeExpired(long nowMillis) {
    forwardedByWorker
        .values()
        .removeIf(forwarded -> nowMillis - forwarded.atMillis() > WorkerDirectory.EXPIRY_MILLIS);
  }
}
