package org.plantainknot.daemon.caller;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.plantainknot.core.admission.Refusal;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.fleet.Pool;
import org.plantainknot.core.fleet.Service;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.routing.PoolLimits;
import org.plantainknot.core.routing.PoolView;
import org.plantainknot.core.routing.RoutableVm;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.daemon.control.ControlNode;
import org.plantainknot.daemon.control.GatewayReport;
import org.plantainknot.daemon.control.StateListener;
import org.plantainknot.daemon.target.AnnouncementReceiver;
import org.plantainknot.daemon.target.TargetClient;

/**
 * Routes callers' requests to targets according to the replicated state.
 *
 * <p>The routing state is sharded by pool; each shard has its own lock.
 */
public final class Gateway implements StateListener {

  private final ControlNode node;
  private final TargetClient targets;
  private final AnnouncementReceiver announcementReceiver;
  private final PoolLimits limits;
  private final MetricRegistry metrics;
  private final Map<String, PoolShard> shards = new ConcurrentHashMap<>();
  private final AtomicBoolean stopAnnounced = new AtomicBoolean();
  private final AtomicInteger inProgress = new AtomicInteger();
  private final AtomicBoolean stopping = new AtomicBoolean();
  private volatile boolean hasShare;
  private volatile RoutingTable table = RoutingTable.EMPTY;

  /** Creates a gateway without services; they follow with the first change of the fleet. */
  public Gateway(
      ControlNode node,
      TargetClient targets,
      AnnouncementReceiver announcementReceiver,
      PoolLimits limits,
      MetricRegistry metrics) {
    this.node = node;
    this.targets = targets;
    this.announcementReceiver = announcementReceiver;
    this.limits = limits;
    this.metrics = metrics;
  }

  /**
   * Returns whether the load balancer should send requests here: the gateway is not stopping, holds
   * a lease and has a share of the targets' slots.
   */
  public boolean isHealthy() {
    return !stopAnnounced.get() && hasShare && node.acceptsRequests();
  }

  /**
   * Runs a request and returns its answer.
   *
   * @param request validated request
   * @param eventLoop executor on which the request runs and the answer is emitted
   * @param onCancel receives the action that removes the request from the queue
   */
  Uni<CallerAnswer> run(CallerRequest request, Executor eventLoop, Consumer<Runnable> onCancel) {
    CallerAnswer rejection = rejectEarly(request);
    if (rejection != null) {
      count(request, rejection);
      return Uni.createFrom().item(rejection);
    }
    Service service = table.services().get(request.service());
    boolean idempotent = service.isIdempotent(request.method().name());
    RequestExecution execution =
        new RequestExecution(
            node, targets, shardOf(service.pool()), request, idempotent, eventLoop);
    onCancel.accept(execution::cancel);
    inProgress.incrementAndGet();
    Timer.Context timer = metrics.timer("request." + request.service()).time();
    return execution
        .start()
        .onItem()
        .invoke(answer -> count(request, answer))
        .onTermination()
        .invoke(
            () -> {
              timer.stop();
              inProgress.decrementAndGet();
            });
  }

  /** Fails the health check from now on, so that the load balancer stops sending requests here. */
  public void announceStop() {
    stopAnnounced.set(true);
  }

  /** Rejects new requests; those in progress are finished. */
  public void stop() {
    stopping.set(true);
  }

  /** Returns the number of accepted requests that have no answer yet. */
  public int inProgress() {
    return inProgress.get();
  }

  /** Runs the periodic work of all pools, such as expiring queued requests. */
  public void tick() {
    shards.values().forEach(PoolShard::tick);
  }

  /** Returns a snapshot of each pool's queue and targets, by pool name. */
  public SortedMap<String, PoolView> view() {
    SortedMap<String, PoolView> views = new TreeMap<>();
    long nowMillis = Clock.nowMillis();
    shards.forEach((pool, shard) -> views.put(pool, shard.router().view(nowMillis)));
    return views;
  }

  @Override
  public void onFleetChanged(ControlState state) {
    announcementReceiver.onFleetChanged(state);
    Map<String, Service> services = new HashMap<>();
    state.fleet().services().forEach(service -> services.put(service.name(), service));
    table = new RoutingTable(services);
    hasShare = state.gateways().present().contains(node.process());
    for (Pool pool : state.fleet().pools()) {
      int minAvailable =
          state.fleet().servicesOf(pool.name()).stream()
              .mapToInt(Service::minAvailableVms)
              .max()
              .orElse(0);
      shardOf(pool.name()).update(routable(state, pool.name()), minAvailable);
    }
  }

  @Override
  public GatewayReport report() {
    Set<String> busy = new HashSet<>();
    shards.values().forEach(shard -> busy.addAll(shard.router().busyRetiredVms()));
    boolean settled = shards.values().stream().allMatch(shard -> shard.router().isWithinShare());
    return new GatewayReport(settled, busy, announcementReceiver.drainRenewed());
  }

  /** Returns the answer to a request that can be rejected without queueing it, or null. */
  private CallerAnswer rejectEarly(CallerRequest request) {
    Service service = table.services().get(request.service());
    boolean idempotent = service != null && service.isIdempotent(request.method().name());
    if (stopping.get()) {
      return request.rejection(idempotent, Refusal.STOPPING.reason());
    }
    if (!node.acceptsRequests()) {
      return request.rejection(idempotent, Refusal.NO_LEASE.reason());
    }
    if (service == null) {
      return CallerAnswer.notRun(404, "no service " + request.service() + " is in force");
    }
    if (!idempotent && (request.key() == null || request.issuedMillis() == 0)) {
      return CallerAnswer.notRun(
          400,
          "a non-idempotent request needs the headers "
              + Headers.IDEMPOTENCY_KEY
              + ", "
              + Headers.CALLER
              + " and "
              + Headers.ISSUED_MILLIS);
    }
    return null;
  }

  private List<RoutableVm> routable(ControlState state, String pool) {
    List<RoutableVm> routable = new ArrayList<>();
    for (Vm vm : state.fleet().vmsIn(pool)) {
      if (vm.isAvailable()) {
        int share = state.gateways().share(node.process(), vm.ordinal(), vm.announcement().slots());
        routable.add(new RoutableVm(vm.name(), vm.announcement(), share));
      }
    }
    return routable;
  }

  private PoolShard shardOf(String pool) {
    return shards.computeIfAbsent(pool, p -> new PoolShard(limits));
  }

  private void count(CallerRequest request, CallerAnswer answer) {
    metrics.counter("outcome." + request.service() + "." + answer.outcome().headerValue()).inc();
  }
}
