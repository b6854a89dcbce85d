package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a worker that has left is not taken for ready again by a heartbeat that is late. */
public class WorkerDirectoryTest {

  private WorkerDirectory directory;

  @BeforeMethod
  void recordWorkerThatLeft() {
    directory = new WorkerDirectory();
    directory.recordHeartbeat(heartbeat(1, 5), 0);
    directory.recordDeparture("w", 100);
  }

  @Test
  void aHeartbeatThatArrivesAfterTheDepartureIsIgnored() {
    assertFalse(directory.recordHeartbeat(heartbeat(1, 6), 200));
    assertEquals(directory.find("w").orElseThrow().phase(), WorkerPhase.LEFT);
  }

  @Test
  void aWorkerWhoseHeartbeatsGoOnAfterADepartureOfAnEarlierIncarnationIsReady() {
    for (int i = 0; i < 3; i++) {
      directory.recordHeartbeat(heartbeat(1, 6 + i), 1_000 + i * 1_500);
    }
    assertEquals(directory.find("w").orElseThrow().phase(), WorkerPhase.READY);
  }

  @Test
  void aLaterIncarnationUnderTheSameNameIsReady() {
    assertTrue(directory.recordHeartbeat(heartbeat(2, 1), 200));
    assertEquals(directory.find("w").orElseThrow().phase(), WorkerPhase.READY);
  }

  private static WorkerHeartbeat heartbeat(long bornMillis, long sequence) {
    return new WorkerHeartbeat(
        new WorkerIncarnation("w", bornMillis),
        sequence,
        "s",
        "w:1",
        "dc",
        WorkerPhase.READY,
        0,
        new Resources(1, 1, 0),
        List.of("a", "r1"),
        "m");
  }
}
