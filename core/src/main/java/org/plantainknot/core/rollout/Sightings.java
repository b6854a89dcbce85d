package org.plantainknot.core.rollout;

import java.util.HashMap;
import java.util.Map;

/** When the gateways last heard of each target, as far as this leader was told. */
public final class Sightings {

  private record Sighting(String instance, long atMillis) {}

  private final Map<String, Sighting> latestByVm = new HashMap<>();

  /** Notes that a target announced itself. */
  public void seen(String vm, String instance, long nowMillis) {
    latestByVm.put(vm, new Sighting(instance, nowMillis));
  }

  /** Returns the time at which the instance was last heard of; a new one counts as seen now. */
  public long lastSeenMillis(String vm, String instance, long nowMillis) {
    Sighting latest = latestByVm.get(vm);
    if (latest == null || !latest.instance().equals(instance)) {
      seen(vm, instance, nowMillis);
      return nowMillis;
    }
    return latest.atMillis();
  }
}
