package org.plantainknot.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.plantainknot.core.admission.WorkKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests quotas, quarantine, size estimates, preemption and leases. */
public class PlacementTest {

  private static final Resources CAPACITY = new Resources(16_000, 32_768, 0);
  private static final Resources HALF = new Resources(8_000, 16_384, 0);

  private Placement placement;
  private long nowMillis;

  @BeforeMethod
  void createPlacement() {
    placement = new Placement(PlacementTiming.DEFAULT);
    nowMillis = 1_000;
    for (String worker : List.of("w1", "w2", "w3", "w4")) {
      placement.putWorker(new Worker(worker, CAPACITY));
    }
    reportFromAll();
  }

  @Test
  void aJobThatCanNeverRunIsRefusedWithTheReason() {
    JobView view = submit("big", WorkKind.NORMAL, new Resources(80_000, 1, 0));
    assertEquals(view.phase(), JobPhase.REFUSED);
    assertTrue(view.reason().contains("the largest worker has"), view.reason());
  }

  @Test
  void aWorkerOnWhichDifferentJobsFailIsQuarantined() {
    for (int i = 0; i < 3; i++) {
      submit("job" + i, WorkKind.NORMAL, CAPACITY);
    }
    placement.drain("w2", true);
    placement.drain("w3", true);
    placement.drain("w4", true);
    for (int i = 0; i < 3; i++) {
      placement.plan(nowMillis);
      JobView failing = placedOn("w1");
      placement.report(failing.taskId(), TaskReport.FAILED, nowMillis);
    }
    assertTrue(placement.isQuarantined("w1", nowMillis));
  }

  @Test
  void aJobThatFailsOnDifferentWorkersIsGivenUpAndNoWorkerIsQuarantined() {
    submit("bad", WorkKind.NORMAL, HALF);
    for (int i = 0; i < 3; i++) {
      placement.plan(nowMillis);
      placement.report(placement.job("bad").get().taskId(), TaskReport.FAILED, nowMillis);
    }
    assertEquals(placement.job("bad").get().phase(), JobPhase.FAILED);
    for (String worker : List.of("w1", "w2", "w3", "w4")) {
      assertFalse(placement.isQuarantined(worker, nowMillis));
    }
  }

  @Test
  void jobsOfAProfileThatUsesMoreThanDeclaredArePackedLessTightly() {
    submit("first", WorkKind.NORMAL, HALF);
    placement.plan(nowMillis);
    placement.recordUsage(placement.job("first").get().taskId(), HALF.scaled(1.8));
    placement.report(placement.job("first").get().taskId(), TaskReport.FINISHED, nowMillis);
    for (int i = 0; i < 8; i++) {
      submit("next" + i, WorkKind.NORMAL, HALF);
    }
    placement.plan(nowMillis);
    assertEquals(count(JobPhase.PLACED), 4);
  }

  @Test
  void urgentWorkWithinItsQuotaPreemptsTheLeastUrgent() {
    for (int i = 0; i < 8; i++) {
      submit("bulk" + i, WorkKind.BULK, HALF);
    }
    placement.plan(nowMillis);
    placement.setQuota("urgent-team", CAPACITY);
    placement.submit(new Job("now", "urgent-team", "p", WorkKind.URGENT, HALF));
    List<TaskOrder> orders = placement.plan(nowMillis);
    TaskOrder checkpoint =
        orders.stream().filter(TaskOrder.Checkpoint.class::isInstance).findFirst().orElseThrow();
    placement.report(checkpoint.taskId(), TaskReport.ENDED, nowMillis);
    placement.plan(nowMillis);
    assertEquals(placement.job("now").get().phase(), JobPhase.PLACED);
    assertEquals(count(JobPhase.QUEUED), 1);
  }

  @Test
  void aBacklogOfUrgentWorkLeavesTheFloorToOtherWork() {
    for (int i = 0; i < 8; i++) {
      submit("bulk" + i, WorkKind.BULK, HALF);
    }
    placement.plan(nowMillis);
    placement.setQuota("urgent-team", new Resources(1_000_000, 1_000_000, 0));
    for (int i = 0; i < 50; i++) {
      placement.submit(new Job("now" + i, "urgent-team", "p", WorkKind.URGENT, HALF));
    }
    for (int i = 0; i < 20; i++) {
      placement.plan(nowMillis).stream()
          .filter(TaskOrder.Checkpoint.class::isInstance)
          .forEach(o -> placement.report(o.taskId(), TaskReport.ENDED, nowMillis));
    }
    long bulk =
        placement.jobs().stream()
            .filter(j -> j.phase() == JobPhase.PLACED && j.job().kind() == WorkKind.BULK)
            .count();
    assertTrue(bulk * 8_000 >= 0.2 * 64_000 - 8_000 && bulk >= 1, bulk + " bulk jobs run");
  }

  @Test
  void aJobOfAnUnresponsiveWorkerRestartsOnlyAfterItsLeaseExpires() {
    submit("job", WorkKind.NORMAL, HALF);
    placement.plan(nowMillis);
    String first = placement.job("job").get().worker();
    long leaseEnd = nowMillis + PlacementTiming.DEFAULT.leaseMillis();
    nowMillis = leaseEnd;
    reportFromAllExcept(first);
    placement.plan(nowMillis);
    assertEquals(placement.job("job").get().worker(), first);
    nowMillis = leaseEnd + PlacementTiming.DEFAULT.marginMillis() + 1;
    reportFromAllExcept(first);
    placement.plan(nowMillis);
    assertFalse(first.equals(placement.job("job").get().worker()));
  }

  private JobView submit(String id, WorkKind kind, Resources size) {
    return placement.submit(new Job(id, "team", "p", kind, size));
  }

  private JobView placedOn(String worker) {
    return placement.jobs().stream()
        .filter(job -> worker.equals(job.worker()))
        .findFirst()
        .orElseThrow();
  }

  private long count(JobPhase phase) {
    return placement.jobs().stream().filter(job -> job.phase() == phase).count();
  }

  private void reportFromAll() {
    reportFromAllExcept("");
  }

  private void reportFromAllExcept(String unresponsive) {
    List.of("w1", "w2", "w3", "w4").stream()
        .filter(worker -> !worker.equals(unresponsive))
        .forEach(worker -> placement.recordReport(worker, nowMillis, nowMillis));
  }
}
