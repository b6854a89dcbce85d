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

/** Tests that asking for the room of a gang leaves no trace in the rest of a planning round. */
public class SlotTest {

  private static final Resources TASK = new Resources(1_000, 1, 0);

  private Slot slot;

  @BeforeMethod
  void createEmptySlot() {
    slot = newSlot(false);
  }

  private static Slot newSlot(boolean onProbation) {
    return new Slot(
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
        onProbation);
  }

  @Test
  void askingForRoomDoesNotCountTowardsTheTasksPerWorkerOfAStep() {
    StepSpec step = StepSpec.builder().size(TASK).maxPerWorker(1).gang(true).build();
    assertEquals(slot.room(task(0).stepId(), step), 1);
    assertTrue(slot.fits(task(1).stepId(), step));
    slot.allocate(task(1), step);
    assertFalse(slot.fits(task(2).stepId(), step));
    assertEquals(slot.room(task(2).stepId(), step), 0);
  }

  @Test
  void askingForRoomDoesNotChangeTheScoreOfOtherSteps() {
    StepSpec persistent = StepSpec.builder().size(TASK).persistent(true).build();
    StepSpec filling = StepSpec.builder().size(TASK).fills(true).build();
    StepSpec serving = StepSpec.builder().size(TASK).targetMillis(100).build();
    List<StepSpec> steps = List.of(persistent, filling, serving);
    List<Double> before = steps.stream().map(slot::score).toList();
    steps.forEach(step -> slot.room(task(0).stepId(), step));
    assertEquals(steps.stream().map(slot::score).toList(), before);
  }

  @Test
  void exactlyAsManyTasksFitAsThereIsRoomFor() {
    for (long milliCores : new long[] {0, 1, 700, 1_000, 16_000, 16_001}) {
      StepSpec step = StepSpec.builder().size(new Resources(milliCores, 1_500, 0)).build();
      createEmptySlot();
      long room = slot.room(task(0).stepId(), step);
      for (int i = 0; i < room; i++) {
        assertTrue(slot.fits(task(i).stepId(), step), milliCores + ", task " + i);
        slot.allocate(task(i), step);
      }
      assertFalse(slot.fits(task(0).stepId(), step), milliCores + ", " + room + " tasks");
    }
  }

  @Test
  void aWorkerOnProbationHasRoomForOneUnprovenTask() {
    StepSpec step = StepSpec.builder().size(TASK).build();
    slot = newSlot(true);
    slot.allocateProven(task(0), step);
    assertEquals(slot.room(task(1).stepId(), step), 1);
    slot.allocate(task(1), step);
    assertEquals(slot.room(task(2).stepId(), step), 0);
  }

  private static TaskId task(int index) {
    return new TaskId("j", 0, 0, index);
  }
}
