package org.plantainknot.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;

/**
 * Bounded queues, one for each service and kind, served in proportion to their weights.
 *
 * <p>Stride scheduling (Waldspurger and Weihl, 1995): each queue has a pass that grows by the
 * inverse of its weight when a request is taken, and the queue with the least pass is next. An idle
 * queue saves up nothing. Not thread-safe.
 */
public final class FairQueue {

  private static final double STRIDE = 1_000_000;

  private record Key(String service, WorkKind kind) {}

  private static final class Lane {
    private final LinkedHashSet<QueuedRequest> requests = new LinkedHashSet<>();
    private double pass;
  }

  private final int capacityPerLane;
  private final Map<Key, Lane> lanes = new HashMap<>();
  private double virtualTime;
  private int size;

  /** Creates empty queues with the given capacity each. */
  public FairQueue(int capacityPerLane) {
    this.capacityPerLane = capacityPerLane;
  }

  /** Adds a request, or returns false if its queue is full. */
  public boolean offer(QueuedRequest request) {
    Lane lane = lanes.computeIfAbsent(keyOf(request), k -> new Lane());
    if (lane.requests.size() >= capacityPerLane) {
      return false;
    }
    if (lane.requests.isEmpty()) {
      lane.pass = Math.max(lane.pass, virtualTime);
    }
    size += lane.requests.add(request) ? 1 : 0;
    return true;
  }

  /** Removes a request wherever it stands, or returns false if it isn't queued. */
  public boolean remove(QueuedRequest request) {
    Lane lane = lanes.get(keyOf(request));
    boolean removed = lane != null && lane.requests.remove(request);
    size -= removed ? 1 : 0;
    return removed;
  }

  /** Takes the next request. */
  public Optional<QueuedRequest> poll() {
    Map.Entry<Key, Lane> next = null;
    for (Map.Entry<Key, Lane> entry : lanes.entrySet()) {
      boolean backlogged = !entry.getValue().requests.isEmpty();
      if (backlogged && (next == null || entry.getValue().pass < next.getValue().pass)) {
        next = entry;
      }
    }
    return next == null ? Optional.empty() : Optional.of(take(next.getKey(), next.getValue()));
  }

  /** Gives back the turn of a request that was taken but used no slot. */
  public void refund(QueuedRequest request) {
    Lane lane = lanes.get(keyOf(request));
    lane.pass -= STRIDE / request.kind().weight();
  }

  /** Returns the number of requests that stand before a new one of this service and kind. */
  public int ahead(String service, WorkKind kind) {
    Lane lane = lanes.get(new Key(service, kind));
    return lane == null ? 0 : lane.requests.size();
  }

  /**
   * Returns the part of the slots, from 0 to 1, that a queue gets while the others stay backlogged.
   */
  public double portion(String service, WorkKind kind) {
    double others =
        lanes.entrySet().stream()
            .filter(e -> !e.getKey().equals(new Key(service, kind)))
            .filter(e -> !e.getValue().requests.isEmpty())
            .mapToInt(e -> e.getKey().kind().weight())
            .sum();
    return kind.weight() / (kind.weight() + others);
  }

  /** Returns the number of queued requests. */
  public int size() {
    return size;
  }

  /** Adds all queued requests to the collection. */
  public void copyTo(Collection<QueuedRequest> target) {
    lanes.values().forEach(lane -> target.addAll(lane.requests));
  }

  private QueuedRequest take(Key key, Lane lane) {
    QueuedRequest request = lane.requests.iterator().next();
    lane.requests.remove(request);
    size--;
    virtualTime = lane.pass;
    lane.pass += STRIDE / key.kind().weight();
    return request;
  }

  private static Key keyOf(QueuedRequest request) {
    return new Key(request.service(), request.kind());
  }
}
