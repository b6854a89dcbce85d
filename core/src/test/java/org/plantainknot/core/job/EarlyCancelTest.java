package org.plantainknot.core.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests cancellations that are applied before the submissions of their jobs. */
public class EarlyCancelTest {

  private static final WorkerIncarnation WORKER = new WorkerIncarnation("w", 1);

  private JobLedger ledger;
  private long clockMillis;

  @BeforeMethod
  void configure() {
    ledger = new JobLedger();
    clockMillis = 1_000;
    QueueConfig queue =
        new QueueConfig("q", "h", "/q/", "s", 0, 4, 2, 1_000, 3_000, AdviceTerms.NONE);
    apply(
        new JobCommand.PutConfig(
            new FleetConfig(1, List.of(queue), List.of(new ServiceConfig("s", false)), "{}")));
  }

  /** Guards against work that starts after its caller was told that it doesn't exist. */
  @Test
  void aJobThatWasCancelledBeforeItsSubmissionArrivedNeverRuns() {
    assertEquals(cancel("aa"), Applied.UNKNOWN);
    assertTrue(ledger.job("aa").isEmpty(), "nobody has submitted it");
    clockMillis += 10_000;
    submit("aa");
    assertNeverRuns("aa");
    assertEquals(cancel("aa"), Applied.UNCHANGED);
    submit("bb");
    assertEquals(ledger.job("bb").orElseThrow().status(), JobStatus.QUEUED);
  }

  @Test
  void anEarlyCancellationOutlastsASnapshot() {
    cancel("aa");
    JobLedger.Image image = ledger.image();
    ledger = new JobLedger();
    ledger.restore(image);
    submit("aa");
    assertNeverRuns("aa");
  }

  @Test
  void aSnapshotWithoutEarlyCancellationsIsRead() {
    JobLedger.Image image = ledger.image();
    ledger.restore(
        new JobLedger.Image(
            image.clockMillis(),
            image.config(),
            image.jobs(),
            image.lastEnds(),
            image.waves(),
            image.orders(),
            image.orderTimes(),
            null));
    submit("aa");
    assertEquals(ledger.job("aa").orElseThrow().status(), JobStatus.QUEUED);
  }

  @Test
  void earlyCancellationsAreForgottenLikeEndedJobs() {
    cancel("aa");
    clockMillis += JobLedger.KEEP_ENDED_MILLIS;
    cancel("bb");
    assertEquals(ledger.image().earlyCancels().size(), 2);
    clockMillis += 1;
    cancel("cc");
    assertEquals(
        ledger.image().earlyCancels().stream().map(EarlyCancel::job).toList(), List.of("bb", "cc"));
  }

  /** Guards against a promise that isn't kept, and against heap without a bound. */
  @Test
  void aCancellationForWhichThereIsNoRoomIsRefused() {
    for (int i = 0; i < EarlyCancels.MAX_COUNT; i++) {
      assertEquals(cancel("a" + i), Applied.UNKNOWN);
    }
    assertEquals(cancel("b"), Applied.REFUSED);
    assertEquals(cancel("a0"), Applied.UNKNOWN, "it is known already");
    submit("c");
    assertEquals(cancel("c"), Applied.CHANGED, "known jobs need no room");
    clockMillis += JobLedger.KEEP_ENDED_MILLIS + 1;
    assertEquals(cancel("b"), Applied.UNKNOWN);
  }

  private void assertNeverRuns(String job) {
    assertEquals(ledger.job(job).orElseThrow().status(), JobStatus.CANCELLED);
    RunId run = new RunId(new TaskId(job, 0, 0, 0), 1);
    apply(new JobCommand.Assign(List.of(new Assignment(run, WORKER))));
    assertEquals(ledger.assignedTasks(), List.of());
    assertEquals(ledger.openHeapBytes(), 0);
  }

  private Applied cancel(String job) {
    return ledger.apply(clockMillis, new JobCommand.Cancel(job));
  }

  private void submit(String job) {
    apply(
        new JobCommand.Submit(
            new JobSpec(job, "q", "p", List.of(StepSpec.builder().build()), Schedule.NOW)));
  }

  private void apply(JobCommand command) {
    ledger.apply(clockMillis, command);
  }
}
