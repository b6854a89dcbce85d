package org.plantainknot.bench.demo;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.plantainknot.bench.load.CallerLoad;

/** Steady load on all services, with five times the mean rate on flooded ones. */
final class DemoLoad {

  private static final long STEP_MILLIS = 10;
  private static final double MEAN_PER_SECOND = 70;
  private static final int FLOOD_FACTOR = 5;

  private final CallerLoad load;
  private final List<String> services;
  private final SplittableRandom random;
  private final Set<String> flooded = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

  DemoLoad(CallerLoad load, List<String> services, long seed) {
    this.load = load;
    this.services = services;
    this.random = new SplittableRandom(seed);
  }

  void start() {
    timer.scheduleAtFixedRate(this::sendStep, 0, STEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  void setFlooded(String service, boolean isFlooded) {
    if (isFlooded) {
      flooded.add(service);
    } else {
      flooded.remove(service);
    }
  }

  void stop() {
    timer.shutdownNow();
  }

  private void sendStep() {
    double perStep = MEAN_PER_SECOND * STEP_MILLIS / 1_000;
    for (String service : services) {
      sendWithMean(service, "normal", perStep);
      if (flooded.contains(service)) {
        sendWithMean(service, "bulk", perStep * (FLOOD_FACTOR - 1));
      }
    }
  }

  private void sendWithMean(String service, String kind, double mean) {
    int whole = (int) mean;
    int count = whole + (random.nextDouble() < mean - whole ? 1 : 0);
    for (int i = 0; i < count; i++) {
      load.send(service, kind);
    }
  }
}
