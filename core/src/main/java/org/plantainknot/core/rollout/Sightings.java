package org.plantainknot.core.rollout;

import java.util.HashMap;
import java.util.Map;

/** When the gateways last heard of each target, as far as this leader was told. */
public final class Sightings {

  private record Sighting(String instance, long atMillis) {}

  private final Map<String, Sighting> latestByVm = new HashMap<>();
  private final long sinceMillis;

  /** Starts to collect; a target not yet heard of counts as seen at this time. */
  public Sightings(long nowMillis) {
    this.sinceMillis = nowMillis;
  }

  /** Notes that a target announced itself. */
  public void seen(String vm, String instance, long nowMillis) {
    latestByVm.put(vm, new Sighting(instance, nowMillis));
  }

  /** Returns the time at which the instance was last heard of. */
  public long lastSeenMillis(String vm, String instance) {
    Sighting latest = latestByVm.get(vm);
    boolean same = latest != null && latest.instance().equals(instance);
    return same ? latest.atMillis() : sinceMillis;
  }
}
