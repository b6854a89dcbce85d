package org.plantainknot.core.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a released allocation leaves no trace in the rest of a planning round. */
public class SlotTest {

  private static final Resources TASK = new Resources(1_000, 1, 0);

  private Slot slot;

  @BeforeMethod
  void createEmptySlot() {
    slot =
        new Slot(
            new WorkerHeartbeat(
                new WorkerIncarnation("w", 1),
                1,
                "s",
                "w:1",
                "dc",
                WorkerPhase.READY,
                0,
                LeaderFixture.MACHINE,
                List.of("a", "r1"),
                "m"),
            false);
  }

  @Test
  void releasedTaskDoesNotCountTowardsTheTasksPerWorkerOfItsStep() {
    StepSpec step = StepSpec.builder().size(TASK).maxPerWorker(1).gang(true).build();
    allocateAndRelease(step);
    assertTrue(slot.fits(task(1).stepId(), step));
    slot.allocate(task(1), step);
    assertFalse(slot.fits(task(2).stepId(), step));
  }

  @Test
  void releasedTaskDoesNotChangeTheScoreOfOtherSteps() {
    StepSpec persistent = StepSpec.builder().size(TASK).persistent(true).build();
    StepSpec filling = StepSpec.builder().size(TASK).fills(true).build();
    StepSpec serving = StepSpec.builder().size(TASK).targetMillis(100).build();
    List<StepSpec> steps = List.of(persistent, filling, serving);
    List<Double> before = steps.stream().map(slot::score).toList();
    steps.forEach(this::allocateAndRelease);
    assertEquals(steps.stream().map(slot::score).toList(), before);
  }

  private void allocateAndRelease(StepSpec step) {
    slot.allocate(task(0), step);
    slot.release(task(0), step);
  }

  private static TaskId task(int index) {
    return new TaskId("j", 0, 0, index);
  }
}
