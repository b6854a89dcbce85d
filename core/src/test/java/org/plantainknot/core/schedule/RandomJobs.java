package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.Schedule;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.placement.Resources;

/** Generates random jobs of a few steps with dependencies between them. */
public final class RandomJobs {

  private RandomJobs() {}

  /** Returns a random job of queue {@code q}. */
  public static JobSpec next(SplittableRandom random, String id) {
    List<StepSpec> steps = new ArrayList<>();
    int count = random.nextInt(1, 4);
    for (int i = 0; i < count; i++) {
      steps.add(
          StepSpec.builder()
              .count(random.nextInt(1, 6))
              .size(new Resources(random.nextLong(500, 3_000), 1_000, 0))
              .estimateMillis(500)
              .dependsOn(i == 0 ? List.of() : List.of(random.nextInt(i)))
              .build());
    }
    return new JobSpec(id, "q", "p", steps, Schedule.NOW);
  }
}
