package org.plantainknot.core.routing;

import static org.plantainknot.core.fuzz.Fuzz.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainknot.core.admission.QueuedRequest;
import org.plantainknot.core.admission.WorkKind;
import org.plantainknot.core.fleet.Announcement;
import org.plantainknot.core.fuzz.Fuzz;
import org.testng.annotations.Test;

/** Fuzzes a pool with requests, failures, cancellations and a changing set of targets. */
public class PoolRouterFuzzTest {

  @Test
  void sharesDeadlinesAndRetiredTargetsAreRespectedAndEveryRequestIsDecided() {
    Fuzz.run(2_000, 50, 500, actions -> new Model().run(actions));
  }

  private record OrphanedRequest(String vm, long untilMillis) {}

  private static final class Model {

    private static final int VMS = 4;
    private static final int QUEUE_CAPACITY = 6;
    private static final long REQUEST_MAX_MILLIS = 2_000;

    private final PoolRouter router =
        new PoolRouter(new PoolLimits(QUEUE_CAPACITY, REQUEST_MAX_MILLIS));
    private final Map<String, Integer> shareByVm = new HashMap<>();
    private final Map<String, Integer> inUseByVm = new HashMap<>();
    private final Set<QueuedRequest> waiting = new HashSet<>();
    private final List<OrphanedRequest> orphanedRequests = new ArrayList<>();
    private final List<Decision.Dispatch> running = new ArrayList<>();
    private long nowMillis = 1_000;

    void run(List<Integer> actions) {
      update(0);
      actions.forEach(this::perform);
      nowMillis += 100_000;
      router.tick(nowMillis).forEach(this::recordDecision);
      require(waiting.isEmpty(), waiting.size() + " requests were never decided");
    }

    private void perform(int action) {
      int argument = action / 20;
      switch (action % 20) {
        case 0, 1, 2, 3, 4, 5, 6, 7 -> admit(argument);
        case 8, 9, 10 -> finish(argument, TargetOutcome.ANSWERED);
        case 11 -> finish(argument, TargetOutcome.FAILED);
        case 12 -> retry(argument);
        case 13 -> finish(argument, TargetOutcome.NOT_SENT);
        case 14 -> cancel(argument);
        case 15 -> update(argument);
        case 16, 17 -> router.tick(nowMillis).forEach(this::recordDecision);
        default -> advanceTime(argument % 200);
      }
    }

    private void advanceTime(long millis) {
      nowMillis += millis;
      for (OrphanedRequest each : List.copyOf(orphanedRequests)) {
        if (each.untilMillis() <= nowMillis) {
          orphanedRequests.remove(each);
          inUseByVm.merge(each.vm(), -1, Integer::sum);
        }
      }
    }

    private void admit(int argument) {
      WorkKind kind = WorkKind.values()[argument % 3];
      QueuedRequest request =
          new QueuedRequest("s" + argument % 2, kind, nowMillis + argument % 1_500);
      waiting.add(request);
      recordDecision(router.admit(request, nowMillis));
    }

    private void recordDecision(Decision decision) {
      if (decision instanceof Decision.Wait) {
        return;
      }
      require(waiting.remove(decision.request()), "a request was decided twice");
      if (decision instanceof Decision.Dispatch dispatch) {
        String vm = dispatch.slot().vm().name();
        int used = inUseByVm.merge(vm, 1, Integer::sum);
        require(used <= shareByVm.getOrDefault(vm, 0), vm + " has " + used + " slots in use");
        require(
            !dispatch.request().avoids(vm),
            "a request was retried on the target that it failed on");
        require(nowMillis < dispatch.request().deadlineMillis(), "dispatched past the deadline");
        running.add(dispatch);
      }
    }

    private void finish(int argument, TargetOutcome outcome) {
      if (!running.isEmpty()) {
        release(running.remove(argument % running.size()), outcome);
      }
    }

    /** Keeps the slot of a lost answer in use, because the target may still run the request. */
    private void release(Decision.Dispatch dispatch, TargetOutcome outcome) {
      if (outcome == TargetOutcome.NO_RESPONSE) {
        long until = dispatch.slot().acquiredAtMillis() + REQUEST_MAX_MILLIS;
        orphanedRequests.add(new OrphanedRequest(dispatch.slot().vm().name(), until));
      } else {
        inUseByVm.merge(dispatch.slot().vm().name(), -1, Integer::sum);
      }
      router
          .release(dispatch.slot(), dispatch.request().service(), outcome, nowMillis)
          .forEach(this::recordDecision);
    }

    private void retry(int argument) {
      if (running.isEmpty()) {
        return;
      }
      Decision.Dispatch failed = running.remove(argument % running.size());
      release(failed, TargetOutcome.NO_RESPONSE);
      waiting.add(failed.request());
      String vm = failed.slot().vm().name();
      router
          .retry(failed.request(), vm, nowMillis)
          .ifPresentOrElse(this::recordDecision, () -> waiting.remove(failed.request()));
    }

    private void cancel(int argument) {
      List<QueuedRequest> candidates = new ArrayList<>(waiting);
      if (!candidates.isEmpty()) {
        QueuedRequest request = candidates.get(argument % candidates.size());
        require(router.cancel(request), "a waiting request was not found");
        waiting.remove(request);
      }
    }

    private void update(int argument) {
      shareByVm.clear();
      List<RoutableVm> vms = new ArrayList<>();
      for (int i = 0; i < VMS; i++) {
        int share = argument >> i * 2 & 3;
        boolean present = argument == 0 || (argument >> 8 + i & 1) == 1;
        if (present) {
          String vm = "vm" + i;
          shareByVm.put(vm, share);
          vms.add(new RoutableVm(vm, announcementOf(vm), share));
        }
      }
      router.update(vms, 1, nowMillis).forEach(this::recordDecision);
    }

    private static Announcement announcementOf(String vm) {
      return new Announcement(vm + "-1", "127.0.0.1", 1, "dc1", "r1", 8, 64);
    }
  }
}
