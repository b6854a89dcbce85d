package org.plantainknot.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;

/**
 * Bounded queues, one per service and kind, served in proportion to the weights of the kinds.
 *
 * <p>Stride scheduling (Waldspurger and Weihl, 1995): each queue has a pass value that grows by the
 * inverse of its weight when a request is taken, and the backlogged queue with the smallest pass is
 * served next. An idle queue accumulates no credit. Not thread-safe.
 */
public final class FairQueue {

  private static final double STRIDE = 1_000_000;

  private record Key(String service, WorkKind kind) {}

  private static final class KindQueue {
    private final LinkedHashSet<QueuedRequest> requests = new LinkedHashSet<>();
    private double pass;
  }

  private final int capacityPerQueue;
  private final Map<Key, KindQueue> queues = new HashMap<>();
  private double virtualTime;
  private int size;

  /**
   * Creates empty queues.
   *
   * @param capacityPerQueue maximum number of requests in the queue of a service and kind
   */
  public FairQueue(int capacityPerQueue) {
    this.capacityPerQueue = capacityPerQueue;
  }

  /** Adds a request, or returns false if its queue is full. */
  public boolean offer(QueuedRequest request) {
    KindQueue queue = queues.computeIfAbsent(keyOf(request), k -> new KindQueue());
    if (queue.requests.size() >= capacityPerQueue) {
      return false;
    }
    if (queue.requests.isEmpty()) {
      queue.pass = Math.max(queue.pass, virtualTime);
    }
    size += queue.requests.add(request) ? 1 : 0;
    return true;
  }

  /** Removes a request from any position, or returns false if it isn't queued. */
  public boolean remove(QueuedRequest request) {
    KindQueue queue = queues.get(keyOf(request));
    boolean removed = queue != null && queue.requests.remove(request);
    size -= removed ? 1 : 0;
    return removed;
  }

  /** Removes and returns the next request, or empty if all queues are empty. */
  public Optional<QueuedRequest> poll() {
    Map.Entry<Key, KindQueue> next = null;
    for (Map.Entry<Key, KindQueue> entry : queues.entrySet()) {
      boolean backlogged = !entry.getValue().requests.isEmpty();
      if (backlogged && (next == null || entry.getValue().pass < next.getValue().pass)) {
        next = entry;
      }
    }
    return next == null
        ? Optional.empty()
        : Optional.of(removeFirst(next.getKey(), next.getValue()));
  }

  /** Restores the pass of the queue of a request that was taken but used no slot. */
  public void refund(QueuedRequest request) {
    KindQueue queue = queues.get(keyOf(request));
    queue.pass -= STRIDE / request.kind().weight();
  }

  /** Returns the number of requests queued ahead of a new one of this service and kind. */
  public int countAhead(String service, WorkKind kind) {
    KindQueue queue = queues.get(new Key(service, kind));
    return queue == null ? 0 : queue.requests.size();
  }

  /**
   * Returns the fraction of the slots, from 0 to 1, that a queue gets if all queues that are
   * backlogged now stay so.
   */
  public double slotFraction(String service, WorkKind kind) {
    double others =
        queues.entrySet().stream()
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
  public void copyTo(Collection<QueuedRequest> destination) {
    queues.values().forEach(queue -> destination.addAll(queue.requests));
  }

  private QueuedRequest removeFirst(Key key, KindQueue queue) {
    QueuedRequest request = queue.requests.iterator().next();
    queue.requests.remove(request);
    size--;
    virtualTime = queue.pass;
    queue.pass += STRIDE / key.kind().weight();
    return request;
  }

  private static Key keyOf(QueuedRequest request) {
    return new Key(request.service(), request.kind());
  }
}
