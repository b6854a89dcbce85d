package org.plantainknot.daemon.controller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.plantainknot.core.job.AdviceTerms;
import org.plantainknot.core.job.Applied;
import org.plantainknot.core.job.FleetConfig;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.MaintenanceWave;
import org.plantainknot.core.job.QueueConfig;
import org.plantainknot.core.job.Schedule;
import org.plantainknot.core.job.ServiceConfig;
import org.plantainknot.core.job.StepSpec;
import org.testng.annotations.Test;

/** Compares the recognized changes with what the job state makes of the same commands. */
public class SettledChangesTest {

  private static final int COMMANDS = 20_000;
  private static final long SEED = 1;

  private final Random random = new Random(SEED);

  @Test
  void aSettledChangeHasTheResultAndTheEffectOfItsLogEntry() {
    JobLedger ledger = new JobLedger();
    Map<Applied, Integer> settled = new EnumMap<>(Applied.class);
    long stampMillis = 1;
    for (int i = 0; i < COMMANDS; i++) {
      stampMillis += random.nextInt(20) == 0 ? JobLedger.KEEP_ENDED_MILLIS / 2 : 1;
      JobCommand command = command();
      Optional<Applied> expected = SettledChanges.resultOf(command, ledger);
      JobLedger.Image before = ledger.image();
      Applied result = ledger.apply(stampMillis, command);
      boolean needsNoEntry = result == Applied.UNCHANGED || result == Applied.REFUSED;
      assertEquals(expected, needsNoEntry ? Optional.of(result) : Optional.empty(), command + "");
      if (expected.isPresent()) {
        assertEquals(atStart(ledger.image()), atStart(before), command + "");
        settled.merge(result, 1, Integer::sum);
      }
    }
    assertTrue(settled.keySet().containsAll(List.of(Applied.UNCHANGED, Applied.REFUSED)));
  }

  private JobCommand command() {
    String id = "job" + random.nextInt(4);
    return switch (random.nextInt(8)) {
      case 0 -> new JobCommand.PutConfig(config(random.nextInt(1 << random.nextInt(20))));
      case 1 -> new JobCommand.StartWave(wave(random.nextInt(3), "m" + random.nextInt(2)));
      case 2, 3 -> new JobCommand.Cancel(id);
      default -> new JobCommand.Submit(spec(id, "q" + random.nextInt(3)));
    };
  }

  /** Returns the image without the time of the log, which each entry advances. */
  private static JobLedger.Image atStart(JobLedger.Image image) {
    return new JobLedger.Image(
        0,
        image.config(),
        image.jobs(),
        image.lastEnds(),
        image.waves(),
        image.orders(),
        image.orderTimes(),
        image.earlyCancels());
  }

  private static JobSpec spec(String id, String queue) {
    return new JobSpec(id, queue, "", List.of(StepSpec.builder().build()), Schedule.NOW);
  }

  private static MaintenanceWave wave(long number, String machine) {
    return new MaintenanceWave(number, List.of(machine), 1_000, 1);
  }

  private static FleetConfig config(long version) {
    String name = "q" + version % 3;
    QueueConfig queue =
        new QueueConfig(name, "h", "/q/", "s", 0, 3, 1.0, 0, 1_000, AdviceTerms.NONE);
    return new FleetConfig(
        version, List.of(queue), List.of(new ServiceConfig("s", false)), "version " + version);
  }
}
