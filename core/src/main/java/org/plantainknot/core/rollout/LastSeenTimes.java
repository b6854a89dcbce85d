package org.plantainknot.core.rollout;

import java.util.HashMap;
import java.util.Map;

/** Times of the latest announcements of targets that gateways have reported to this leader. */
public final class LastSeenTimes {

  private record LastSeen(String instance, long atMillis) {}

  private final Map<String, LastSeen> latestByVm = new HashMap<>();

  /** Records that an instance of a target has announced itself. */
  public void recordSeen(String vm, String instance, long nowMillis) {
    latestByVm.put(vm, new LastSeen(instance, nowMillis));
  }

  /** Returns the time of the latest announcement; a new instance counts as seen now. */
  public long lastSeenMillis(String vm, String instance, long nowMillis) {
    LastSeen latest = latestByVm.get(vm);
    if (latest == null || !latest.instance().equals(instance)) {
      recordSeen(vm, instance, nowMillis);
      return nowMillis;
    }
    return latest.atMillis();
  }
}
