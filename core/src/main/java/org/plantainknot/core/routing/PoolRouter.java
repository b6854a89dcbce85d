package org.plantainknot.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.plantainknot.core.admission.FairQueue;
import org.plantainknot.core.admission.QueuedRequest;
import org.plantainknot.core.admission.Refusal;
import org.plantainknot.core.admission.ServiceTime;
import org.plantainknot.core.routing.Decision.Dispatch;
import org.plantainknot.core.routing.Decision.Refuse;
import org.plantainknot.core.routing.Decision.Wait;

/**
 * Routes the requests for one pool to its targets.
 *
 * <p>Each pool is a shard of the gateway's state with a lock of its own: every method holds the
 * lock and none calls external code while holding it.
 */
public final class PoolRouter {

  private static final long PROBE_INTERVAL_MILLIS = 1_000;

  private final PoolLimits limits;
  private final Map<String, TargetState> targets = new LinkedHashMap<>();
  private final FairQueue queue;
  private final Map<String, ServiceTime> serviceTimes = new HashMap<>();
  private final List<Slot> orphanedSlots = new ArrayList<>();
  private final Map<String, Long> probeMillisByService = new HashMap<>();
  private final RetryBudget retryBudget = new RetryBudget();
  private int minInService;

  /** Creates a pool without targets. */
  public PoolRouter(PoolLimits limits) {
    this.limits = limits;
    this.queue = new FairQueue(limits.queueCapacity());
  }

  /**
   * Replaces the set of VMs that serve the pool, and returns the decisions on waiting requests.
   *
   * @param vms VMs that may get new work
   * @param minAvailable number of targets that ejection must leave in service
   */
  public synchronized List<Decision> update(
      Collection<RoutableVm> vms, int minAvailable, long nowMillis) {
    minInService = Math.max(1, minAvailable);
    Set<String> present = vms.stream().map(RoutableVm::key).collect(Collectors.toSet());
    targets.forEach(
        (key, target) -> {
          if (!present.contains(key)) {
            target.retire();
          }
        });
    for (RoutableVm vm : vms) {
      targets.computeIfAbsent(vm.key(), k -> new TargetState(vm)).update(vm);
    }
    removeDrainedTargets();
    return dispatchWaiting(nowMillis);
  }

  /** Returns the decision on a new request. */
  public synchronized Decision admit(QueuedRequest request, long nowMillis) {
    retryBudget.recordRequest();
    return decide(request, nowMillis);
  }

  /**
   * Returns the decision on a request that failed on a target, or empty if it may not be retried.
   */
  public synchronized Optional<Decision> retry(
      QueuedRequest request, String failedVm, long nowMillis) {
    request.avoid(failedVm);
    boolean hasAlternative =
        targets.values().stream().anyMatch(t -> !t.isRetired() && !request.avoids(t.vm().name()));
    if (!hasAlternative || !retryBudget.tryAcquire()) {
      return Optional.empty();
    }
    return Optional.of(decide(request, nowMillis));
  }

  /**
   * Releases a slot and returns the decisions on waiting requests.
   *
   * <p>A slot whose answer was lost stays in use until its request is guaranteed to have ended on
   * the target.
   */
  public synchronized List<Decision> release(
      Slot slot, String service, TargetOutcome outcome, long nowMillis) {
    if (!slot.markReleased()) {
      throw new IllegalStateException("slot on " + slot.vm().name() + " released twice");
    }
    if (outcome.isLatencySample()) {
      serviceTimeOf(service).record(nowMillis - slot.acquiredAtMillis());
    }
    if (outcome.mayStillRun()) {
      orphanedSlots.add(slot);
    } else {
      slot.target().releaseSlot();
    }
    if (slot.target().recordOutcome(outcome) && mayEject(nowMillis)) {
      slot.target().eject(nowMillis);
    }
    removeDrainedTargets();
    return dispatchWaiting(nowMillis);
  }

  /** Removes a request whose caller has disconnected; returns false if it isn't waiting. */
  public synchronized boolean cancel(QueuedRequest request) {
    return queue.remove(request);
  }

  /** Refuses requests that can no longer meet their deadline, and fills slots freed by timeouts. */
  public synchronized List<Decision> tick(long nowMillis) {
    releaseExpiredOrphans(nowMillis);
    List<QueuedRequest> waiting = new ArrayList<>();
    queue.copyTo(waiting);
    List<Decision> decisions = new ArrayList<>();
    for (QueuedRequest request : waiting) {
      if (!canFinish(request, 0, nowMillis)) {
        queue.remove(request);
        decisions.add(new Refuse(request, Refusal.TOO_LATE));
      }
    }
    decisions.addAll(dispatchWaiting(nowMillis));
    return decisions;
  }

  /** Returns whether this gateway uses no more than its share of the slots of every target. */
  public synchronized boolean isWithinShare() {
    return targets.values().stream().allMatch(TargetState::isWithinShare);
  }

  /** Returns the VMs that get no new requests but still run requests of this gateway. */
  public synchronized Set<String> busyRetiredVms() {
    Set<String> busy = new HashSet<>();
    targets.values().stream()
        .filter(t -> t.isRetired() && t.inUse() > 0)
        .forEach(t -> busy.add(t.vm().name()));
    return busy;
  }

  /** Returns a view of the pool for status reports. */
  public synchronized PoolView view(long nowMillis) {
    List<PoolView.TargetView> views =
        targets.values().stream()
            .map(
                t ->
                    new PoolView.TargetView(
                        t.vm().name(), t.vm().share(), t.inUse(), t.isEjected(nowMillis)))
            .toList();
    return new PoolView(queue.size(), views);
  }

  /**
   * Dispatches, queues or refuses a request.
   *
   * <p>A request that is estimated to miss its deadline may still use a free slot, as a probe: the
   * slot would stay idle otherwise, and only answers correct the estimates.
   */
  private Decision decide(QueuedRequest request, long nowMillis) {
    if (usableSlots(nowMillis) == 0) {
      return new Refuse(request, Refusal.NO_TARGET);
    }
    Optional<TargetState> free = queue.size() == 0 ? choose(request, nowMillis) : Optional.empty();
    if (free.isPresent() && (canFinish(request, 0, nowMillis) || mayProbe(request, nowMillis))) {
      return dispatch(request, free.get(), nowMillis);
    }
    if (!canFinish(request, expectedWaitMillis(request, nowMillis), nowMillis)) {
      return new Refuse(request, Refusal.TOO_LATE);
    }
    return queue.offer(request) ? new Wait(request) : new Refuse(request, Refusal.QUEUE_FULL);
  }

  private List<Decision> dispatchWaiting(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    List<QueuedRequest> undispatched = new ArrayList<>();
    while (hasFreeSlot(nowMillis)) {
      QueuedRequest request = queue.poll().orElse(null);
      if (request == null) {
        break;
      }
      if (!canFinish(request, 0, nowMillis)) {
        queue.refund(request);
        decisions.add(new Refuse(request, Refusal.TOO_LATE));
        continue;
      }
      Optional<TargetState> free = choose(request, nowMillis);
      if (free.isPresent()) {
        decisions.add(dispatch(request, free.get(), nowMillis));
      } else {
        queue.refund(request);
        undispatched.add(request);
      }
    }
    undispatched.forEach(queue::offer);
    return decisions;
  }

  private Dispatch dispatch(QueuedRequest request, TargetState target, long nowMillis) {
    target.acquireSlot();
    return new Dispatch(request, new Slot(target, nowMillis));
  }

  private Optional<TargetState> choose(QueuedRequest request, long nowMillis) {
    TargetState best = null;
    for (TargetState target : targets.values()) {
      boolean usable = target.hasFreeSlot(nowMillis) && !request.avoids(target.vm().name());
      if (usable && (best == null || target.load() < best.load())) {
        best = target;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean hasFreeSlot(long nowMillis) {
    return targets.values().stream().anyMatch(t -> t.hasFreeSlot(nowMillis));
  }

  private int usableSlots(long nowMillis) {
    return targets.values().stream()
        .filter(t -> !t.isEjected(nowMillis))
        .mapToInt(t -> t.vm().share())
        .sum();
  }

  private boolean canFinish(QueuedRequest request, double waitMillis, long nowMillis) {
    double latencyMillis = serviceTimeOf(request.service()).upperEstimateMillis();
    return nowMillis + waitMillis + latencyMillis < request.deadlineMillis();
  }

  private double expectedWaitMillis(QueuedRequest request, long nowMillis) {
    int ahead = queue.countAhead(request.service(), request.kind());
    double meanLatencyMillis = serviceTimeOf(request.service()).meanMillis();
    double slots = usableSlots(nowMillis) * queue.slotFraction(request.service(), request.kind());
    return ahead * meanLatencyMillis / slots;
  }

  /**
   * Returns whether a request may be dispatched although it is estimated to miss its deadline.
   *
   * <p>One request per service and probe interval may be, because only answers correct the
   * estimate: without such probes one slow answer could stop all further requests of the service.
   */
  private boolean mayProbe(QueuedRequest request, long nowMillis) {
    Long probedMillis = probeMillisByService.get(request.service());
    boolean due = probedMillis == null || nowMillis - probedMillis >= PROBE_INTERVAL_MILLIS;
    if (due && nowMillis < request.deadlineMillis()) {
      probeMillisByService.put(request.service(), nowMillis);
      return true;
    }
    return false;
  }

  private ServiceTime serviceTimeOf(String service) {
    return serviceTimes.computeIfAbsent(service, s -> new ServiceTime());
  }

  private boolean mayEject(long nowMillis) {
    long inService =
        targets.values().stream().filter(t -> !t.isRetired() && !t.isEjected(nowMillis)).count();
    return inService > minInService;
  }

  private void releaseExpiredOrphans(long nowMillis) {
    List<Slot> expired =
        orphanedSlots.stream()
            .filter(slot -> nowMillis - slot.acquiredAtMillis() >= limits.requestMaxMillis())
            .toList();
    orphanedSlots.removeAll(expired);
    expired.forEach(slot -> slot.target().releaseSlot());
    removeDrainedTargets();
  }

  private void removeDrainedTargets() {
    targets.values().removeIf(t -> t.isRetired() && t.inUse() == 0);
  }
}
