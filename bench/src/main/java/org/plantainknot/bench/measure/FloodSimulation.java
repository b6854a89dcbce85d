package org.plantainknot.bench.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.plantainknot.core.admission.QueuedRequest;
import org.plantainknot.core.admission.WorkKind;
import org.plantainknot.core.fleet.Announcement;
import org.plantainknot.core.routing.Decision;
import org.plantainknot.core.routing.PoolLimits;
import org.plantainknot.core.routing.PoolRouter;
import org.plantainknot.core.routing.RoutableVm;
import org.plantainknot.core.routing.TargetOutcome;

/**
 * Simulates gateways with the production routers and queues, in virtual time.
 *
 * <p>Times are kept in microseconds so that short intervals between arrivals are not rounded away.
 */
final class FloodSimulation {

  static final int SERVICES = 5;
  static final int VMS = 7;
  static final int SLOTS = 8;
  static final int MEAN_SERVICE_MILLIS = 200;

  private static final int GATEWAYS = 6;
  private static final long DEADLINE_MILLIS = 2_000;
  private static final long TICK_MICROS = 20_000;
  private static final int MICROS_PER_MILLI = 1_000;

  private record Event(long atMicros, long order, Runnable action) {}

  private final SplittableRandom random;
  private final SlotPolicy policy;
  private final long oneWayMillis;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::order));
  private final PoolRouter[][] routers = new PoolRouter[GATEWAYS][SERVICES];
  private final Map<QueuedRequest, Integer> gatewayByRequest = new HashMap<>();
  private final int[][] inUse = new int[SERVICES][VMS];
  private final Map<String, Integer> answeredByWorkKey = new HashMap<>();
  private final Map<String, Integer> sentByWorkKey = new HashMap<>();
  private long nowMicros;
  private long nextOrder;
  private int maxInUse;
  private long windowFromMillis;
  private long windowToMillis;
  private final int[] answeredInWindow = new int[SERVICES];

  FloodSimulation(long seed, SlotPolicy policy, long oneWayMillis) {
    this.random = new SplittableRandom(seed);
    this.policy = policy;
    this.oneWayMillis = oneWayMillis;
    List<String> gateways = new ArrayList<>();
    for (int g = 0; g < GATEWAYS; g++) {
      gateways.add("g" + g);
    }
    for (int g = 0; g < GATEWAYS; g++) {
      for (int s = 0; s < SERVICES; s++) {
        routers[g][s] = new PoolRouter(PoolLimits.DEFAULT);
        routers[g][s].update(targets(gateways, "g" + g, s), VMS / 2, 0);
      }
    }
  }

  /** Schedules arrivals of a service and kind as a Poisson process between two times. */
  void addArrivals(int service, WorkKind kind, double perSecond, long fromMillis, long toMillis) {
    long arrivalMicros = fromMillis * MICROS_PER_MILLI;
    while (true) {
      arrivalMicros += Math.round(-Math.log(1 - random.nextDouble()) / perSecond * 1_000_000);
      if (arrivalMicros >= toMillis * MICROS_PER_MILLI) {
        return;
      }
      int gateway = random.nextInt(GATEWAYS);
      long arrival = arrivalMicros;
      schedule(arrival, () -> arrive(service, kind, gateway));
    }
  }

  /** Sets the time window for {@link #answeredInWindow}. */
  void setWindow(long fromMillis, long toMillis) {
    windowFromMillis = fromMillis;
    windowToMillis = toMillis;
  }

  /** Returns the number of answers of a service that met their deadline inside the window. */
  int answeredInWindow(int service) {
    return answeredInWindow[service];
  }

  /** Runs the simulation up to the given virtual time. */
  void run(long untilMillis) {
    for (long atMicros = 0; atMicros < untilMillis * MICROS_PER_MILLI; atMicros += TICK_MICROS) {
      schedule(atMicros, this::tick);
    }
    while (!events.isEmpty() && events.peek().atMicros() <= untilMillis * MICROS_PER_MILLI) {
      Event event = events.remove();
      nowMicros = event.atMicros();
      event.action().run();
    }
  }

  /** Returns the number of requests of a service and kind that were answered in time. */
  int answered(int service, WorkKind kind) {
    return answeredByWorkKey.getOrDefault(workKey(service, kind), 0);
  }

  /** Returns the number of requests of a service and kind that arrived. */
  int sent(int service, WorkKind kind) {
    return sentByWorkKey.getOrDefault(workKey(service, kind), 0);
  }

  /** Returns the largest number of concurrent requests on one target. */
  int maxInUse() {
    return maxInUse;
  }

  private List<RoutableVm> targets(List<String> gateways, String gateway, int service) {
    List<RoutableVm> targets = new ArrayList<>();
    for (int v = 0; v < VMS; v++) {
      long ordinal = (long) v * SERVICES + service;
      Announcement announcement =
          new Announcement("i" + ordinal, "127.0.0.1", v + 1, "dc" + v % 3, "r" + v, SLOTS, 64);
      targets.add(
          new RoutableVm(
              Integer.toString(v), announcement, policy.share(gateways, gateway, ordinal, SLOTS)));
    }
    return targets;
  }

  private void arrive(int service, WorkKind kind, int gateway) {
    sentByWorkKey.merge(workKey(service, kind), 1, Integer::sum);
    QueuedRequest request =
        new QueuedRequest(Integer.toString(service), kind, nowMillis() + DEADLINE_MILLIS);
    int queueingGateway = policy.queueingGateway(gateway);
    gatewayByRequest.put(request, queueingGateway);
    execute(service, routers[queueingGateway][service].admit(request, nowMillis()));
  }

  private void tick() {
    for (int g = 0; g < GATEWAYS; g++) {
      for (int s = 0; s < SERVICES; s++) {
        int service = s;
        routers[g][s].tick(nowMillis()).forEach(d -> execute(service, d));
      }
    }
  }

  private void execute(int service, Decision decision) {
    if (decision instanceof Decision.Refuse) {
      gatewayByRequest.remove(decision.request());
    } else if (decision instanceof Decision.Dispatch dispatch) {
      dispatch(service, dispatch);
    }
  }

  private void dispatch(int service, Decision.Dispatch dispatch) {
    int vm = Integer.parseInt(dispatch.slot().vm().name());
    inUse[service][vm]++;
    maxInUse = Math.max(maxInUse, inUse[service][vm]);
    double factor = 0.5 + random.nextDouble();
    long addedMicros = policy.addedMillis(oneWayMillis) * MICROS_PER_MILLI;
    long durationMicros = Math.round(MEAN_SERVICE_MILLIS * factor * MICROS_PER_MILLI) + addedMicros;
    schedule(nowMicros + durationMicros, () -> finish(service, vm, dispatch));
  }

  private void finish(int service, int vm, Decision.Dispatch dispatch) {
    inUse[service][vm]--;
    QueuedRequest request = dispatch.request();
    if (nowMillis() <= request.deadlineMillis()) {
      answeredByWorkKey.merge(workKey(service, request.kind()), 1, Integer::sum);
      boolean inWindow = nowMillis() >= windowFromMillis && nowMillis() < windowToMillis;
      answeredInWindow[service] += inWindow ? 1 : 0;
    }
    int gateway = gatewayByRequest.remove(request);
    routers[gateway][service]
        .release(dispatch.slot(), request.service(), TargetOutcome.ANSWERED, nowMillis())
        .forEach(decision -> execute(service, decision));
  }

  private void schedule(long atMicros, Runnable action) {
    events.add(new Event(atMicros, nextOrder++, action));
  }

  private long nowMillis() {
    return nowMicros / MICROS_PER_MILLI;
  }

  private static String workKey(int service, WorkKind kind) {
    return service + "/" + kind;
  }
}
