package org.plantainknot.daemon.caller;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainknot.core.admission.QueuedRequest;
import org.plantainknot.core.admission.Refusal;
import org.plantainknot.core.routing.Decision;
import org.plantainknot.core.routing.PoolLimits;
import org.plantainknot.core.routing.PoolRouter;
import org.plantainknot.core.routing.RoutableVm;
import org.plantainknot.core.routing.Slot;
import org.plantainknot.core.routing.TargetOutcome;
import org.plantainknot.daemon.control.Clock;

/** Routing state of one pool: its router, and the requests waiting for the router's decisions. */
final class PoolShard {

  private final PoolRouter router;
  private final Map<QueuedRequest, UniEmitter<? super Slot>> emitters = new ConcurrentHashMap<>();

  PoolShard(PoolLimits limits) {
    this.router = new PoolRouter(limits);
  }

  PoolRouter router() {
    return router;
  }

  /** Queues a new request and returns its slot; fails if the request is refused. */
  Uni<Slot> acquire(QueuedRequest request) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              emitters.put(request, emitter);
              apply(router.admit(request, Clock.nowMillis()));
            });
  }

  /** Returns a slot on another target for a retry; fails if the request must not be retried. */
  Uni<Slot> acquireForRetry(QueuedRequest request, String failedVm) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              emitters.put(request, emitter);
              apply(
                  router
                      .retry(request, failedVm, Clock.nowMillis())
                      .orElseGet(() -> new Decision.Refuse(request, Refusal.NO_RETRY)));
            });
  }

  /** Frees a slot and reports the outcome of the request that used it. */
  void release(Slot slot, String service, TargetOutcome outcome) {
    apply(router.release(slot, service, outcome, Clock.nowMillis()));
  }

  /** Refuses a request whose caller has disconnected, if it is still queued. */
  void cancel(QueuedRequest request) {
    if (router.cancel(request)) {
      emitters.remove(request).fail(new RefusedException(Refusal.CALLER_GONE));
    }
  }

  /** Applies a change of the pool's VMs or of its budget. */
  void update(Collection<RoutableVm> vms, int minAvailable) {
    apply(router.update(vms, minAvailable, Clock.nowMillis()));
  }

  /** Runs the periodic work of the router. */
  void tick() {
    apply(router.tick(Clock.nowMillis()));
  }

  private void apply(List<Decision> decisions) {
    decisions.forEach(this::apply);
  }

  private void apply(Decision decision) {
    if (decision instanceof Decision.Dispatch dispatch) {
      emitters.remove(dispatch.request()).complete(dispatch.slot());
    } else if (decision instanceof Decision.Refuse refuse) {
      emitters.remove(refuse.request()).fail(new RefusedException(refuse.refusal()));
    }
  }
}
