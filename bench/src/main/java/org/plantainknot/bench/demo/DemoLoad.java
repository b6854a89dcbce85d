package org.plantainknot.bench.demo;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.plantainknot.bench.load.CallerLoad;

/** Demand on all services: steady, and five times the mean on a flooded one. */
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
    timer.scheduleAtFixedRate(this::step, 0, STEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  void flood(String service, boolean on) {
    if (on) {
      flooded.add(service);
    } else {
      flooded.remove(service);
    }
  }

  void stop() {
    timer.shutdownNow();
  }

  private void step() {
    double perStep = MEAN_PER_SECOND * STEP_MILLIS / 1_000;
    for (String service : services) {
      sendAbout(service, "normal", perStep);
      if (flooded.contains(service)) {
        sendAbout(service, "bulk", perStep * (FLOOD_FACTOR - 1));
      }
    }
  }

  private void sendAbout(String service, String kind, double mean) {
    int whole = (int) mean;
    int count = whole + (random.nextDouble() < mean - whole ? 1 : 0);
    for (int i = 0; i < count; i++) {
      load.send(service, kind);
    }
  }
}
