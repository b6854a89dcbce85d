package org.plantainknot.core.schedule;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.MachineOrder;
import org.testng.annotations.Test;

/**
 * Tests for which machines a new leader waits after its process has restarted and replayed its log.
 */
public class MachineOrderTimesTest {

  private static final long WAIT_MILLIS = 3_000;
  private static final long WALL_MILLIS = 1_000_000;

  /** Close to zero, since the monotonic clock starts with the process. */
  private static final long NOW_MILLIS = 500;

  private final MachineOrderTimes times = new MachineOrderTimes();

  @Test
  void aMachineOrderedLongBeforeARestartCanBeOrderedAtOnce() {
    replayOrder("m1", 30_000);
    assertTrue(isWaitOver("m1", NOW_MILLIS));
  }

  @Test
  void aMachineOrderedShortlyBeforeARestartCanBeOrderedAfterTheWait() {
    replayOrder("m2", 1_000);
    assertFalse(isWaitOver("m2", NOW_MILLIS + WAIT_MILLIS - 1));
    assertTrue(isWaitOver("m2", NOW_MILLIS + WAIT_MILLIS));
  }

  @Test
  void wallClocksThatDifferBySecondsDoNotShortenTheWait() {
    replayOrder("m3", WAIT_MILLIS + 4_000);
    assertFalse(isWaitOver("m3", NOW_MILLIS));
  }

  @Test
  void onlyARecentSnapshotWithoutOrderTimesMakesALeaderWaitForAllMachines() {
    assertTrue(isWaitOverAfterSnapshotWithoutTimes(30_000));
    assertFalse(isWaitOverAfterSnapshotWithoutTimes(1_000));
  }

  @Test
  void aRecentSnapshotDelaysOnlyTheMachinesOrderedShortlyBeforeIt() {
    JobLedger ledger = new JobLedger();
    ledger.apply(WALL_MILLIS - 30_000, order("early"));
    ledger.apply(WALL_MILLIS - 2_000, order("late"));
    ledger.apply(WALL_MILLIS - 1_000, new JobCommand.Cancel("j"));
    JobLedger restored = new JobLedger();
    restored.restore(ledger.image());
    times.restored(restored, WALL_MILLIS, NOW_MILLIS);
    assertTrue(isWaitOver("never", NOW_MILLIS));
    assertTrue(isWaitOver("early", NOW_MILLIS));
    assertFalse(isWaitOver("late", NOW_MILLIS));
    assertTrue(isWaitOver("late", NOW_MILLIS + WAIT_MILLIS));
  }

  @Test
  void timesThatAnEarlierBuildLeftOutAreUnknownInLaterSnapshotsToo() {
    JobLedger ledger = new JobLedger();
    ledger.restore(withoutTimes(new JobLedger().image(), WALL_MILLIS - 2_000));
    ledger.apply(WALL_MILLIS - 1_000, order("other"));
    JobLedger restored = new JobLedger();
    restored.restore(ledger.image());
    times.restored(restored, WALL_MILLIS, NOW_MILLIS);
    assertFalse(isWaitOver("m", NOW_MILLIS));
  }

  private static boolean isWaitOverAfterSnapshotWithoutTimes(long ageMillis) {
    JobLedger ledger = new JobLedger();
    ledger.restore(withoutTimes(ledger.image(), WALL_MILLIS - ageMillis));
    MachineOrderTimes times = new MachineOrderTimes();
    times.restored(ledger, WALL_MILLIS, NOW_MILLIS);
    return isWaitOver(times, "m4", NOW_MILLIS);
  }

  private static JobLedger.Image withoutTimes(JobLedger.Image image, long clockMillis) {
    return new JobLedger.Image(
        clockMillis,
        image.config(),
        image.jobs(),
        image.lastEnds(),
        image.waves(),
        image.orders(),
        null,
        image.earlyCancels());
  }

  private static JobCommand order(String machine) {
    return new JobCommand.OrderMachine(new MachineOrder(machine, 0, "pool"));
  }

  private void replayOrder(String machine, long ageMillis) {
    times.applied(order(machine), WALL_MILLIS - ageMillis, WALL_MILLIS, NOW_MILLIS);
  }

  private boolean isWaitOver(String machine, long nowMillis) {
    return isWaitOver(times, machine, nowMillis);
  }

  private static boolean isWaitOver(MachineOrderTimes times, String machine, long nowMillis) {
    return times
        .waitForNewLeader(new JobLedger(), WAIT_MILLIS, NOW_MILLIS)
        .isOver(machine, nowMillis);
  }
}
