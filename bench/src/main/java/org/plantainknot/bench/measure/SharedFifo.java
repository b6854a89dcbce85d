package org.plantainknot.bench.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Baseline simulation of one FIFO queue for all services, without minimum shares or deadlines.
 *
 * <p>The queue has head-of-line blocking: while its head waits for a slot of its pool, all later
 * requests wait too.
 */
final class SharedFifo {

  private static final long DEADLINE_MILLIS = 2_000;
  private static final int QUEUE_CAPACITY = 512 * FloodSimulation.SERVICES;

  private record Arrival(long atMillis, int service) {}

  private final SplittableRandom random;
  private final List<Arrival> arrivals = new ArrayList<>();
  private final int[] answered = new int[FloodSimulation.SERVICES];

  SharedFifo(long seed) {
    this.random = new SplittableRandom(seed);
  }

  void addArrivals(int service, double perSecond, long fromMillis, long toMillis) {
    double arrivalMillis = fromMillis;
    while (arrivalMillis < toMillis) {
      arrivalMillis += -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
      arrivals.add(new Arrival((long) arrivalMillis, service));
    }
  }

  int answered(int service) {
    return answered[service];
  }

  void run(long untilMillis) {
    arrivals.sort((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    Deque<Arrival> queue = new ArrayDeque<>();
    List<List<Long>> busyByService = new ArrayList<>();
    for (int s = 0; s < FloodSimulation.SERVICES; s++) {
      busyByService.add(new ArrayList<>());
    }
    int nextArrival = 0;
    for (long nowMillis = 0; nowMillis < untilMillis; nowMillis++) {
      for (;
          nextArrival < arrivals.size() && arrivals.get(nextArrival).atMillis() <= nowMillis;
          nextArrival++) {
        if (queue.size() < QUEUE_CAPACITY) {
          queue.add(arrivals.get(nextArrival));
        }
      }
      dispatch(queue, busyByService, nowMillis);
    }
  }

  private void dispatch(Deque<Arrival> queue, List<List<Long>> busyByService, long nowMillis) {
    int slots = FloodSimulation.VMS * FloodSimulation.SLOTS;
    while (!queue.isEmpty()) {
      Arrival head = queue.peek();
      List<Long> busyUntilMillis = busyByService.get(head.service());
      busyUntilMillis.removeIf(untilMillis -> untilMillis <= nowMillis);
      if (busyUntilMillis.size() >= slots) {
        return;
      }
      queue.remove();
      long endMillis =
          nowMillis + Math.round(FloodSimulation.MEAN_SERVICE_MILLIS * (0.5 + random.nextDouble()));
      busyUntilMillis.add(endMillis);
      if (endMillis <= head.atMillis() + DEADLINE_MILLIS) {
        answered[head.service()]++;
      }
    }
  }
}
