package org.plantainknot.daemon.controller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.plantainknot.core.call.JobDraft;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.job.AdviceTerms;
import org.plantainknot.core.job.Applied;
import org.plantainknot.core.job.FleetConfig;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.JobStatus;
import org.plantainknot.core.job.MaintenanceWave;
import org.plantainknot.core.job.QueueConfig;
import org.plantainknot.core.job.Schedule;
import org.plantainknot.core.job.ServiceConfig;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.daemon.metrics.DecisionMetrics;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which requests are proposed to the log, and that each is answered exactly once. */
public class RequestProcessorTest {

  private static final long NOT_LEADER = -1;
  private static final int LARGE_JOBS = 56;
  private static final int LARGE_JOB_STEPS = 9_500;

  /** A twelfth of the heap of a controller, which is 192 MB. */
  private static final int MAX_BACKLOG_BYTES = 16 << 20;

  private final List<JobCommand> proposed = new ArrayList<>();
  private final List<Reply> replies = new ArrayList<>();
  private JobLedger ledger;
  private MetricRegistry metrics;
  private RequestProcessor processor;
  private boolean leads;
  private int applied;

  @BeforeMethod
  void createProcessor() {
    proposed.clear();
    replies.clear();
    leads = true;
    applied = 0;
    ledger = new JobLedger();
    ledger.apply(1, new JobCommand.PutConfig(config(1)));
    metrics = new MetricRegistry();
    processor = new RequestProcessor(ledger, this::propose, new DecisionMetrics(metrics));
  }

  @Test
  void aSubmissionThatArrivesAgainWhilePendingIsProposedOnce() {
    process(submit("ab", "p"));
    process(submit("ab", "p"));
    assertEquals(proposed.size(), 1);
    assertEquals(replies.size(), 0);
    applyAll();
    assertEquals(replies, List.of(new Reply.Done(), new Reply.Done()));
  }

  /** Guards against submissions at once that no controller's heap can hold. */
  @Test
  void submissionsBeyondTheBytesOfTheBacklogAreRejectedWithoutBeingProposed() {
    for (int i = 0; i < LARGE_JOBS; i++) {
      process(largeSubmission(i));
    }
    int accepted = proposed.size();
    assertTrue(accepted > 0 && accepted < LARGE_JOBS, accepted + " proposed");
    assertEquals(replies.size(), LARGE_JOBS - accepted);
    assertTrue(replies.stream().allMatch(Reply.Overloaded.class::isInstance), replies.toString());
    applyAll();
    process(largeSubmission(LARGE_JOBS));
    assertEquals(proposed.size(), accepted, "an accepted backlog counts like a pending one");
    int bytes = proposed.stream().mapToInt(command -> StateCodec.write(command).length).sum();
    assertTrue(bytes <= MAX_BACKLOG_BYTES, bytes + " bytes in the log");
  }

  @Test
  void copiesOfAnAcceptedSubmissionAreAnsweredAlthoughTheBacklogIsFull() {
    for (int i = 0; i < LARGE_JOBS; i++) {
      process(largeSubmission(i));
    }
    replies.clear();
    process(largeSubmission(0));
    assertEquals(replies, List.of());
    applyAll();
    replies.clear();
    process(largeSubmission(0));
    confirmRound();
    assertEquals(replies, List.of(new Reply.Done()));
  }

  @Test
  void endedJobsMakeRoomInAFullBacklog() {
    for (int i = 0; i < LARGE_JOBS; i++) {
      process(largeSubmission(i));
    }
    applyAll();
    int accepted = proposed.size();
    process(new Request.CancelJob("h", "/q/1000"));
    applyAll();
    process(largeSubmission(LARGE_JOBS));
    assertEquals(proposed.size(), accepted + 2);
  }

  private static Request largeSubmission(int number) {
    List<StepSpec> steps = Collections.nCopies(LARGE_JOB_STEPS, StepSpec.builder().build());
    return new Request.SubmitJob(
        "h", "/q/" + (1_000 + number), new JobDraft("p", steps, Schedule.NOW));
  }

  @Test
  void aConfigurationThatArrivesAgainWhilePendingIsProposedOnce() {
    process(new Request.PutConfig(config(7)));
    process(new Request.PutConfig(config(7)));
    process(new Request.PutConfig(config(7)));
    assertEquals(proposed.size(), 1);
    assertEquals(metrics.counter("requests.joined").getCount(), 2);
    applyAll();
    assertEquals(replies.size(), 3);
  }

  /** Guards against entries of any length in the log and the ledger for what can't be a job. */
  @Test
  void aCancellationOfWhatIsNoIdentifierIsAnsweredWithoutALogEntry() {
    process(new Request.CancelJob("h", "/q/"));
    process(new Request.CancelJob("h", "/q/no-identifier"));
    process(new Request.CancelJob("h", "/q/" + "a".repeat(65)));
    assertEquals(proposed.size(), 0);
    assertEquals(replies, Collections.nCopies(3, new Reply.NoSuchJob()));
  }

  @Test
  void aSubmissionThatArrivesAfterItsCancellationIsAnsweredAndCancelled() {
    process(new Request.CancelJob("h", "/q/ab"));
    applyAll();
    process(submit("ab", "p"));
    applyAll();
    assertEquals(replies, List.of(new Reply.NoSuchJob(), new Reply.Done()));
    assertEquals(ledger.job("ab").orElseThrow().status(), JobStatus.CANCELLED);
  }

  @Test
  void aCancellationThatCannotBeKeptIsRejected() {
    process(new Request.CancelJob("h", "/q/ab"));
    processor.applied(1, Applied.REFUSED);
    assertTrue(replies.get(0) instanceof Reply.Overloaded, replies.toString());
  }

  @Test
  void aCancellationOfAnUnknownJobThatArrivesAgainWhilePendingGetsTheSameReply() {
    process(new Request.CancelJob("h", "/q/ab"));
    process(new Request.CancelJob("h", "/q/ab"));
    assertEquals(proposed.size(), 1);
    applyAll();
    assertEquals(replies, List.of(new Reply.NoSuchJob(), new Reply.NoSuchJob()));
  }

  @Test
  void aWaveThatArrivesAgainWhilePendingIsProposedOnce() {
    process(new Request.StartWave(wave("m1")));
    process(new Request.StartWave(wave("m1")));
    assertEquals(proposed.size(), 1);
    applyAll();
    assertEquals(replies, List.of(new Reply.Done(), new Reply.Done()));
  }

  @Test
  void aWaveWithTheNumberOfAnotherPendingOneIsNotAnsweredLikeIt() {
    process(new Request.StartWave(wave("m1")));
    process(new Request.StartWave(wave("m2")));
    assertEquals(proposed.size(), 2);
    applyAll();
    assertEquals(
        replies, List.of(new Reply.Done(), new Reply.Invalid("another wave has this number")));
  }

  @Test
  void changesOfTheSameJobWithOtherContentAreProposedEach() {
    process(submit("ab", "p"));
    process(submit("ab", "other"));
    process(submit("ab", "p"));
    assertEquals(proposed.size(), 2);
    applyAll();
    assertEquals(replies.size(), 3);
  }

  @Test
  void aRequestRefusedByTheLogDoesNotHoldBackLaterCopies() {
    leads = false;
    process(submit("ab", "p"));
    process(submit("cd", "p"));
    leads = true;
    process(submit("ab", "p"));
    assertEquals(proposed.size(), 1);
    applyAll();
    processor.applied(NOT_LEADER, Applied.CHANGED);
    assertEquals(replies, List.of(new Reply.Done()));
  }

  @Test
  void aRequestAfterLostLeadershipIsProposedAgainAndEarlierOnesAreNotAnswered() {
    process(submit("ab", "p"));
    processor.clear();
    process(submit("ab", "p"));
    assertEquals(proposed.size(), 2);
    applyAll();
    assertEquals(replies.size(), 1);
  }

  @Test
  void aRequestThatArrivesAfterTheAnswerIsAnsweredOnItsOwn() {
    process(submit("ab", "p"));
    applyAll();
    process(submit("ab", "p"));
    confirmRound();
    applyAll();
    assertEquals(replies, List.of(new Reply.Done(), new Reply.Done()));
  }

  @Test
  void aSubmissionOfAKnownJobIsAnsweredByAConfirmedRoundWithoutALogEntry() {
    process(submit("ab", "p"));
    applyAll();
    replies.clear();
    process(submit("ab", "p"));
    assertEquals(proposed.size(), 1);
    assertEquals(replies.size(), 0, "the round is not confirmed yet");
    confirmRound();
    assertEquals(replies, List.of(new Reply.Done()));
  }

  @Test
  void aConfigurationThatIsNotNewerIsAnsweredByAConfirmedRoundWithoutALogEntry() {
    ledger.apply(1, new JobCommand.PutConfig(config(9)));
    process(new Request.PutConfig(config(9)));
    process(new Request.PutConfig(config(8)));
    confirmRound();
    assertEquals(proposed.size(), 0);
    assertEquals(replies, List.of(new Reply.Done(), new Reply.Done()));
  }

  @Test
  void aCancellationOfAnEndedJobIsAnsweredByAConfirmedRoundWithoutALogEntry() {
    process(submit("ab", "p"));
    process(new Request.CancelJob("h", "/q/ab"));
    applyAll();
    replies.clear();
    process(new Request.CancelJob("h", "/q/ab"));
    confirmRound();
    assertEquals(proposed.size(), 2);
    assertEquals(replies, List.of(new Reply.Done()));
  }

  @Test
  void aWaveWithTheNumberOfAnotherIsRefusedByAConfirmedRoundWithoutALogEntry() {
    ledger.apply(1, new JobCommand.StartWave(wave("m1")));
    process(new Request.StartWave(wave("m1")));
    process(new Request.StartWave(wave("m2")));
    confirmRound();
    assertEquals(proposed.size(), 0);
    assertEquals(
        replies, List.of(new Reply.Done(), new Reply.Invalid("another wave has this number")));
  }

  @Test
  void aCancellationWaitsForThePendingSubmissionOfItsJob() {
    process(submit("ab", "p"));
    process(new Request.CancelJob("h", "/q/ab"));
    confirmRound();
    assertEquals(replies.size(), 0);
    applyAll();
    assertEquals(replies, List.of(new Reply.Done(), new Reply.Done()));
  }

  @Test
  void aCancellationAfterAPendingSubmissionIsNotAnsweredByAnEarlierCancellation() {
    process(new Request.CancelJob("h", "/q/ab"));
    process(submit("ab", "p"));
    process(new Request.CancelJob("h", "/q/ab"));
    applyAll();
    assertEquals(ledger.job("ab").orElseThrow().status(), JobStatus.CANCELLED);
    assertEquals(replies, List.of(new Reply.NoSuchJob(), new Reply.Done(), new Reply.Done()));
  }

  @Test
  void aSubmissionOfAJobThatIsRemovedBeforeTheRoundIsConfirmedIsProposed() {
    process(submit("ab", "p"));
    applyAll();
    process(new Request.CancelJob("h", "/q/ab"));
    applyAll();
    replies.clear();
    process(submit("ab", "p"));
    process(submit("cd", "p"));
    ledger.apply(2 * JobLedger.KEEP_ENDED_MILLIS, proposed.get(applied++));
    confirmRound();
    assertEquals(replies.size(), 0);
    assertEquals(proposed.get(applied), proposed.get(0));
    applyAll();
    assertEquals(replies, List.of(new Reply.Done()));
  }

  @Test
  void aSettledChangeIsNotAnsweredOnceLeadershipIsLost() {
    process(new Request.PutConfig(config(1)));
    processor.onRoundStarted(1);
    processor.clear();
    processor.onRoundConfirmed(1);
    assertEquals(replies.size(), 0);
  }

  private long propose(JobCommand command) {
    if (!leads) {
      return NOT_LEADER;
    }
    proposed.add(command);
    return proposed.size();
  }

  private void process(Request request) {
    processor.process(request, replies::add);
  }

  private void applyAll() {
    while (applied < proposed.size()) {
      JobCommand command = proposed.get(applied++);
      processor.applied(applied, ledger.apply(applied, command));
    }
  }

  private void confirmRound() {
    processor.onRoundStarted(1);
    processor.onRoundConfirmed(1);
  }

  private static Request submit(String id, String payload) {
    JobDraft draft = new JobDraft(payload, List.of(StepSpec.builder().build()), Schedule.NOW);
    return new Request.SubmitJob("h", "/q/" + id, draft);
  }

  private static MaintenanceWave wave(String machine) {
    return new MaintenanceWave(5, List.of(machine), 1_000, 1);
  }

  private static FleetConfig config(long version) {
    QueueConfig queue =
        new QueueConfig("q", "h", "/q/", "s", 0, 3, 1.0, 0, 1_000, AdviceTerms.NONE);
    return new FleetConfig(
        version, List.of(queue), List.of(new ServiceConfig("s", false)), "version " + version);
  }
}
