package org.plantainknot.core.schedule;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.MachineOrder;
import org.testng.annotations.Test;

/** Tests for which machines a leader waits whose process has just read its record again. */
public class MachineOrderTimesTest {

  private static final long WAIT_MILLIS = 3_000;
  private static final long WALL_MILLIS = 1_000_000;

  /** The steady clock begins with the process. */
  private static final long NOW_MILLIS = 500;

  private final MachineOrderTimes times = new MachineOrderTimes();

  @Test
  void aMachineThatWasOrderedLongBeforeARestartIsFreeAtOnce() {
    readOrder("m1", 30_000);
    assertTrue(isFree("m1", NOW_MILLIS));
  }

  @Test
  void aMachineThatWasOrderedShortlyBeforeARestartIsAwaited() {
    readOrder("m2", 1_000);
    assertFalse(isFree("m2", NOW_MILLIS + WAIT_MILLIS - 1));
    assertTrue(isFree("m2", NOW_MILLIS + WAIT_MILLIS));
  }

  @Test
  void timesOfDayThatDifferBySecondsFreeNoMachineEarly() {
    readOrder("m3", WAIT_MILLIS + 4_000);
    assertFalse(isFree("m3", NOW_MILLIS));
  }

  @Test
  void machinesThatAnOldSnapshotKnowsAreFreeAtOnce() {
    MachineOrderTimes restored = new MachineOrderTimes();
    restored.restored(WALL_MILLIS - 30_000, WALL_MILLIS, NOW_MILLIS);
    assertTrue(isFree(restored, "m4", NOW_MILLIS));
    restored.restored(WALL_MILLIS - 1_000, WALL_MILLIS, NOW_MILLIS);
    assertFalse(isFree(restored, "m4", NOW_MILLIS));
  }

  private void readOrder(String machine, long ageMillis) {
    times.applied(
        new JobCommand.OrderMachine(new MachineOrder(machine, 0, "pool")),
        WALL_MILLIS - ageMillis,
        WALL_MILLIS,
        NOW_MILLIS);
  }

  private boolean isFree(String machine, long nowMillis) {
    return isFree(times, machine, nowMillis);
  }

  private static boolean isFree(MachineOrderTimes times, String machine, long nowMillis) {
    return times
        .waitOfNewLeader(new JobLedger(), WAIT_MILLIS, NOW_MILLIS)
        .isOver(machine, nowMillis);
  }
}
