package org.plantainknot.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.plantainknot.core.admission.QueuedRequest;
import org.plantainknot.core.admission.WorkKind;
import org.plantainknot.core.fleet.Announcement;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests routing decisions of a pool. */
public class PoolRouterTest {

  private PoolRouter router;

  @BeforeMethod
  void createRouter() {
    router = new PoolRouter(PoolLimits.DEFAULT);
    router.update(targets(3, 2), 2, 0);
  }

  @Test
  void oneSlowAnswerDoesNotBlockTheService() {
    Decision.Dispatch slow = (Decision.Dispatch) router.admit(request(0, 60_000), 0);
    router.release(slow.slot(), "s", TargetOutcome.ANSWERED, 5_000);
    assertTrue(router.admit(request(5_000, 1_000), 5_000) instanceof Decision.Dispatch);
  }

  @Test
  void aFailingTargetIsEjectedUntilItsProbationButNeverBelowTheMinimumInService() {
    for (int i = 0; i < 60; i++) {
      Decision.Dispatch dispatch = (Decision.Dispatch) router.admit(request(i, 1_000), i);
      TargetOutcome outcome =
          dispatch.slot().vm().name().equals("vm2") ? TargetOutcome.ANSWERED : TargetOutcome.FAILED;
      router.release(dispatch.slot(), "s", outcome, i);
    }
    assertEquals(router.view(60).targets().stream().filter(t -> t.ejected()).count(), 1);
    assertFalse(router.view(5_000).targets().stream().anyMatch(t -> t.ejected()));
  }

  @Test
  void aSlotWhoseAnswerWasLostStaysInUseUntilTheMaximumRequestTime() {
    long requestMaxMillis = PoolLimits.DEFAULT.requestMaxMillis();
    router.update(targets(1, 1), 1, 0);
    Decision.Dispatch first = (Decision.Dispatch) router.admit(request(0, 500), 0);
    router.release(first.slot(), "s", TargetOutcome.NO_RESPONSE, 500);
    assertFalse(router.admit(request(500, 200), 500) instanceof Decision.Dispatch);
    router.tick(requestMaxMillis);
    assertTrue(
        router.admit(request(requestMaxMillis, 200), requestMaxMillis)
            instanceof Decision.Dispatch);
  }

  @Test
  void theLeastLoadedTargetIsChosen() {
    List<String> chosen = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      chosen.add(((Decision.Dispatch) router.admit(request(0, 1_000), 0)).slot().vm().name());
    }
    assertEquals(chosen.stream().distinct().count(), 3);
  }

  private static QueuedRequest request(long nowMillis, long timeoutMillis) {
    return new QueuedRequest("s", WorkKind.NORMAL, nowMillis + timeoutMillis);
  }

  private static List<RoutableVm> targets(int vms, int share) {
    List<RoutableVm> targets = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      Announcement announcement = new Announcement("i" + i, "127.0.0.1", 1, "dc1", "r" + i, 8, 64);
      targets.add(new RoutableVm("vm" + i, announcement, share));
    }
    return targets;
  }
}
