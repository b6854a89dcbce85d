package org.plantainknot.bench.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Baseline: one queue for all services, first in, first out, without floors or deadlines.
 *
 * <p>The head of the queue waits for a slot of its own pool, and all behind it wait with it.
 */
final class SharedFifo {

  private static final long DEADLINE_MILLIS = 2_000;
  private static final int CAPACITY = 512 * FloodSimulation.SERVICES;

  private record Arrival(long atMillis, int service) {}

  private final SplittableRandom random;
  private final List<Arrival> arrivals = new ArrayList<>();
  private final int[] answered = new int[FloodSimulation.SERVICES];

  SharedFifo(long seed) {
    this.random = new SplittableRandom(seed);
  }

  void arrivals(int service, double perSecond, long fromMillis, long toMillis) {
    double at = fromMillis;
    while (at < toMillis) {
      at += -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
      arrivals.add(new Arrival((long) at, service));
    }
  }

  int answered(int service) {
    return answered[service];
  }

  void run(long untilMillis) {
    arrivals.sort((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    Deque<Arrival> queue = new ArrayDeque<>();
    List<List<Long>> busyUntil = new ArrayList<>();
    for (int s = 0; s < FloodSimulation.SERVICES; s++) {
      busyUntil.add(new ArrayList<>());
    }
    int next = 0;
    for (long now = 0; now < untilMillis; now++) {
      for (; next < arrivals.size() && arrivals.get(next).atMillis() <= now; next++) {
        if (queue.size() < CAPACITY) {
          queue.add(arrivals.get(next));
        }
      }
      serve(queue, busyUntil, now);
    }
  }

  private void serve(Deque<Arrival> queue, List<List<Long>> busyUntil, long now) {
    int slots = FloodSimulation.VMS * FloodSimulation.SLOTS;
    while (!queue.isEmpty()) {
      Arrival head = queue.peek();
      List<Long> busy = busyUntil.get(head.service());
      busy.removeIf(until -> until <= now);
      if (busy.size() >= slots) {
        return;
      }
      queue.remove();
      long done = now + Math.round(FloodSimulation.SERVICE_MILLIS * (0.5 + random.nextDouble()));
      busy.add(done);
      if (done <= head.atMillis() + DEADLINE_MILLIS) {
        answered[head.service()]++;
      }
    }
  }
}
