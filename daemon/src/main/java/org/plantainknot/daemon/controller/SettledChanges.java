package org.plantainknot.daemon.controller;

import java.util.Optional;
import org.plantainknot.core.job.Applied;
import org.plantainknot.core.job.Job;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.WaveProgress;

/**
 * Recognizes changes that would have no effect on the job state, so that they need no log entry.
 *
 * <p>Only changes whose result pending commands can't alter are recognized: versions of the
 * configuration only rise, waves are never removed, and ended jobs stay ended until they are
 * removed. The cancellation of an unknown job is not among them, since its submission may be
 * pending.
 */
final class SettledChanges {

  private SettledChanges() {}

  /**
   * Returns the result that {@link JobLedger#apply} would return, or empty if the command may
   * change the state.
   */
  static Optional<Applied> resultOf(JobCommand command, JobLedger ledger) {
    if (command instanceof JobCommand.Submit submit) {
      return unchangedIf(ledger.job(submit.spec().id()).isPresent());
    } else if (command instanceof JobCommand.Cancel cancel) {
      Optional<Job> job = ledger.job(cancel.job());
      return unchangedIf(job.isPresent() && job.get().status().isEnded());
    } else if (command instanceof JobCommand.PutConfig put) {
      return unchangedIf(
          !ledger.config().isNone() && put.config().version() <= ledger.config().version());
    } else if (command instanceof JobCommand.StartWave start) {
      return ledger
          .wave(start.wave().number())
          .map(WaveProgress::wave)
          .map(known -> known.equals(start.wave()) ? Applied.UNCHANGED : Applied.REFUSED);
    }
    return Optional.empty();
  }

  private static Optional<Applied> unchangedIf(boolean settled) {
    return settled ? Optional.of(Applied.UNCHANGED) : Optional.empty();
  }
}
