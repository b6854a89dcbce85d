package org.plantainknot.daemon.controller;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.error.Findings;
import org.plantainknot.core.job.Applied;
import org.plantainknot.core.job.ConfigChecks;
import org.plantainknot.core.job.Job;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.QueueConfig;
import org.plantainknot.core.job.WaveProgress;
import org.plantainknot.daemon.metrics.DecisionMetrics;

/**
 * Processes requests while this member is the leader.
 *
 * <p>A change is answered once it is committed and applied. A read is answered once a majority has
 * answered a heartbeat round that started after the request arrived; this guarantees that no newer
 * leader had changed the state when the request arrived. A change without effect on the applied
 * state is answered like a read. Used by the control thread only.
 */
final class RequestProcessor {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Time in which enough of a full backlog may have ended for another submission. */
  private static final long BACKLOG_RETRY_AFTER_MILLIS = 2_000;

  /**
   * Heap that open jobs may take. The log, the latest snapshot and the one being encoded take about
   * as much each, and all of it has to fit into the heap of a controller.
   */
  private static final long MAX_OPEN_HEAP_BYTES = 16L << 20;

  /** Request that waits for a round; the task is run once the round is confirmed. */
  private record Read(long round, Runnable task) {}

  private final JobLedger ledger;
  private final PendingChanges pendingChanges;
  private final List<Runnable> readsAwaitingRound = new ArrayList<>();
  private final Deque<Read> pendingReads = new ArrayDeque<>();

  /**
   * Creates a processor without pending requests.
   *
   * @param proposer proposes a command to the log and returns its index, or a negative number if
   *     this member doesn't lead
   */
  RequestProcessor(JobLedger ledger, ToLongFunction<JobCommand> proposer, DecisionMetrics metrics) {
    this.ledger = ledger;
    this.pendingChanges = new PendingChanges(proposer, metrics);
  }

  /** Drops all requests because this member is no longer the leader; their senders retry them. */
  void clear() {
    pendingChanges.clear();
    readsAwaitingRound.clear();
    pendingReads.clear();
  }

  /** Processes a request; the consumer gets the reply unless {@link #clear} drops the request. */
  void process(Request request, Consumer<Reply> answer) {
    if (request instanceof Request.SubmitJob submit) {
      submit(submit, answer);
    } else if (request instanceof Request.CancelJob cancel) {
      cancel(cancel, answer);
    } else if (request instanceof Request.PutConfig put) {
      putConfig(put, answer);
    } else if (request instanceof Request.StartWave start) {
      change(request, new JobCommand.StartWave(start.wave()), answer);
    } else {
      read(request, answer);
    }
  }

  /** Returns whether reads are waiting for a heartbeat round to start. */
  boolean needsRound() {
    return !readsAwaitingRound.isEmpty();
  }

  /** Assigns the waiting reads to a heartbeat round that has started. */
  void onRoundStarted(long round) {
    readsAwaitingRound.forEach(task -> pendingReads.add(new Read(round, task)));
    readsAwaitingRound.clear();
  }

  /** Answers the reads of a confirmed round and of all earlier ones. */
  void onRoundConfirmed(long round) {
    while (!pendingReads.isEmpty() && pendingReads.peek().round() <= round) {
      pendingReads.remove().task().run();
    }
  }

  /** Answers all requests for the change proposed at a log index, if there is one. */
  void applied(long index, Applied result) {
    pendingChanges.remove(index).ifPresent(change -> answer(change, index, result));
  }

  private static void answer(PendingChanges.Change change, long index, Applied result) {
    logger.atInfo().log(
        "change request=%s result=%s index=%d requests=%d",
        describe(change.request()), result, index, change.requestCount());
    change.answer(replyTo(change.request(), result));
  }

  private void submit(Request.SubmitJob submit, Consumer<Reply> answer) {
    Optional<QueueConfig> queue = ledger.route(submit.host(), submit.path());
    if (queue.isEmpty()) {
      read(submit, answer);
      return;
    }
    String id = submit.path().substring(queue.get().pathPrefix().length());
    if (!isJobId(id)) {
      answer.accept(new Reply.Invalid("invalid job identifier: " + id));
      return;
    }
    JobSpec spec = submit.draft().toSpec(id, queue.get().name());
    JobCommand command = new JobCommand.Submit(spec);
    boolean known = SettledChanges.resultOf(command, ledger).isPresent();
    if (known) {
      change(submit, command, answer);
    } else if (!pendingChanges.join(command, answer)) {
      submitNew(submit, spec, answer);
    }
  }

  /** Proposes a submission of which no copy is known; rejects it if the backlog is full. */
  private void submitNew(Request.SubmitJob submit, JobSpec spec, Consumer<Reply> answer) {
    if (hasRoomFor(spec)) {
      pendingChanges.propose(submit, new JobCommand.Submit(spec), answer);
      return;
    }
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "backlog-full request=%s open-bytes=%d", describe(submit), ledger.openHeapBytes());
    answer.accept(new Reply.Overloaded(BACKLOG_RETRY_AFTER_MILLIS));
  }

  private boolean hasRoomFor(JobSpec spec) {
    long openHeapBytes = ledger.openHeapBytes() + pendingChanges.submittedHeapBytes();
    return openHeapBytes + spec.heapBytes() <= MAX_OPEN_HEAP_BYTES;
  }

  private void cancel(Request.CancelJob cancel, Consumer<Reply> answer) {
    Optional<QueueConfig> queue = ledger.route(cancel.host(), cancel.path());
    if (queue.isEmpty()) {
      read(cancel, answer);
      return;
    }
    String id = cancel.path().substring(queue.get().pathPrefix().length());
    if (!isJobId(id)) {
      answer.accept(new Reply.NoSuchJob());
      return;
    }
    change(cancel, new JobCommand.Cancel(id), answer);
  }

  private void putConfig(Request.PutConfig put, Consumer<Reply> answer) {
    Findings findings = new Findings();
    ConfigChecks.check(put.config(), findings);
    if (!findings.isEmpty()) {
      logger.atInfo().log(
          "config-invalid version=%d findings=%s", put.config().version(), findings.asList());
      answer.accept(new Reply.Invalid(findings.asList().toString()));
      return;
    }
    change(put, new JobCommand.PutConfig(put.config()), answer);
  }

  private void change(Request request, JobCommand command, Consumer<Reply> answer) {
    if (SettledChanges.resultOf(command, ledger).isPresent()) {
      readsAwaitingRound.add(() -> answerIfSettled(request, command, answer));
    } else {
      pendingChanges.add(request, command, answer);
    }
  }

  /**
   * Answers a change that still has no effect on the applied state, and proposes it otherwise: the
   * job may have been removed since the request arrived.
   */
  private void answerIfSettled(Request request, JobCommand command, Consumer<Reply> answer) {
    Optional<Applied> result = SettledChanges.resultOf(command, ledger);
    if (result.isEmpty()) {
      pendingChanges.add(request, command, answer);
      return;
    }
    logger.atInfo().log("change-settled request=%s result=%s", describe(request), result.get());
    answer.accept(replyTo(request, result.get()));
  }

  private void read(Request request, Consumer<Reply> answer) {
    readsAwaitingRound.add(() -> answer.accept(replyToRead(request)));
  }

  private static Reply replyTo(Request request, Applied result) {
    if (result == Applied.UNKNOWN) {
      return request instanceof Request.CancelJob
          ? new Reply.NoSuchJob()
          : new Reply.NotFound("no such queue");
    }
    if (result == Applied.REFUSED) {
      return request instanceof Request.CancelJob
          ? new Reply.Overloaded(BACKLOG_RETRY_AFTER_MILLIS)
          : new Reply.Invalid("another wave has this number");
    }
    return new Reply.Done();
  }

  private Reply replyToRead(Request request) {
    if (request instanceof Request.GetJob get) {
      return readJob(get);
    } else if (request instanceof Request.GetConfig) {
      return ledger.config().isNone()
          ? new Reply.Unavailable(RETRY_AFTER_MILLIS)
          : new Reply.Config(ledger.config().document());
    } else if (request instanceof Request.GetWave get) {
      Optional<WaveProgress> wave = ledger.wave(get.number());
      return wave.isEmpty()
          ? new Reply.NotFound("no wave " + get.number())
          : new Reply.Wave(wave.get().isCompleted());
    }
    return queueNotFound();
  }

  private Reply readJob(Request.GetJob get) {
    Optional<QueueConfig> queue = ledger.route(get.host(), get.path());
    if (queue.isEmpty()) {
      return queueNotFound();
    }
    String id = get.path().substring(queue.get().pathPrefix().length());
    if (id.isEmpty()) {
      return new Reply.Waiting(ledger.countQueuedJobs(queue.get().name()));
    }
    Optional<Job> job = ledger.job(id);
    return job.isEmpty() ? new Reply.NoSuchJob() : new Reply.Status(job.get().status());
  }

  /** Replies with unavailable before the first configuration, when no queue can be known yet. */
  private Reply queueNotFound() {
    return ledger.config().isNone()
        ? new Reply.Unavailable(RETRY_AFTER_MILLIS)
        : new Reply.NotFound("no such queue");
  }

  private static boolean isJobId(String text) {
    return text.matches("[0-9a-fA-F]{1,64}");
  }

  private static String describe(Request request) {
    if (request instanceof Request.SubmitJob submit) {
      return "submit:" + submit.path();
    } else if (request instanceof Request.CancelJob cancel) {
      return "cancel:" + cancel.path();
    } else if (request instanceof Request.PutConfig put) {
      return "config:" + put.config().version();
    } else if (request instanceof Request.StartWave start) {
      return "wave:" + start.wave().number();
    }
    return request.getClass().getSimpleName();
  }
}
