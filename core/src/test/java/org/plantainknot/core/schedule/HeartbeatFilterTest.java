package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;
import org.testng.annotations.Test;

/**
 * Tests that other controllers learn each change of a worker at once, and the rest at intervals.
 */
public class HeartbeatFilterTest {

  private static final long INTERVAL_MILLIS = 1_500;

  private final HeartbeatFilter filter = new HeartbeatFilter();

  @Test
  void aWorkerThatDoesNotChangeStaysInTheDirectoriesWithFewHeartbeats() {
    WorkerDirectory directory = new WorkerDirectory();
    int passed = 0;
    for (int i = 0; i < 100; i++) {
      long nowMillis = i * INTERVAL_MILLIS;
      WorkerHeartbeat heartbeat = heartbeat("steady", i, WorkerPhase.READY, 1);
      if (filter.pass(heartbeat, nowMillis)) {
        passed++;
        directory.recordHeartbeat(heartbeat, nowMillis);
      }
      directory.removeUnresponsive(nowMillis);
      filter.removeExpired(nowMillis);
      assertEquals(directory.all().size(), 1);
    }
    assertTrue(passed < 35, passed + " of 100");
  }

  @Test
  void aChangeIsPassedOnAtOnce() {
    assertTrue(filter.pass(heartbeat("w", 1, WorkerPhase.READY, 1), 0));
    assertFalse(filter.pass(heartbeat("w", 2, WorkerPhase.READY, 1), 1));
    assertTrue(filter.pass(heartbeat("w", 3, WorkerPhase.DRAINING, 1), 2));
    assertTrue(filter.pass(heartbeat("w", 1, WorkerPhase.READY, 2), 3));
  }

  @Test
  void aControllerThatWasLinkedLaterLearnsAllWorkersWithTheirNextHeartbeats() {
    assertTrue(filter.pass(heartbeat("w", 1, WorkerPhase.READY, 1), 0));
    filter.reset();
    assertTrue(filter.pass(heartbeat("w", 2, WorkerPhase.READY, 1), 1));
  }

  private static WorkerHeartbeat heartbeat(
      String worker, long sequence, WorkerPhase phase, long bornMillis) {
    return new WorkerHeartbeat(
        new WorkerIncarnation(worker, bornMillis),
        sequence,
        "s",
        worker + ":1",
        "dc",
        phase,
        0,
        new Resources(1, 1, 0),
        List.of("a", "r1"),
        "m");
  }
}
