package org.plantainknot.daemon.controller;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.plantainknot.core.job.QueueConfig;
import org.plantainknot.core.job.WaveProgress;

/**
 * Answers requests while this member leads.
 *
 * <p>A change is answered once it is committed and applied. What only reads is answered once a
 * majority has answered a heartbeat round that began after the request came, so that no later
 * leader can have changed anything by then. Used by the control thread only.
 */
final class LeaderDesk {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private record Read(long round, Request request, Consumer<Reply> answer) {}

  private record Change(Request request, Consumer<Reply> answer) {}

  private final JobLedger ledger;
  private final ToLongFunction<JobCommand> proposer;
  private final Map<Long, Change> changeByIndex = new HashMap<>();
  private final List<Read> newReads = new ArrayList<>();
  private final Deque<Read> reads = new ArrayDeque<>();

  /**
   * Creates the desk.
   *
   * @param proposer puts a command into the log and returns its index
   */
  LeaderDesk(JobLedger ledger, ToLongFunction<JobCommand> proposer) {
    this.ledger = ledger;
    this.proposer = proposer;
  }

  /** Forgets all requests, because this member no longer leads; their senders repeat them. */
  void clear() {
    changeByIndex.clear();
    newReads.clear();
    reads.clear();
  }

  void take(Request request, Consumer<Reply> answer) {
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

  boolean needsRound() {
    return !newReads.isEmpty();
  }

  void roundStarted(long round) {
    newReads.forEach(read -> reads.add(new Read(round, read.request(), read.answer())));
    newReads.clear();
  }

  /** Answers the reads whose round is confirmed. */
  void confirmed(long round) {
    while (!reads.isEmpty() && reads.peek().round() <= round) {
      Read read = reads.remove();
      read.answer().accept(readNow(read.request()));
    }
  }

  /** Answers the change that stands at an index of the log. */
  void applied(long index, Applied result) {
    Change change = changeByIndex.remove(index);
    if (change == null) {
      return;
    }
    Reply reply = replyTo(change.request(), result);
    logger.atInfo().log(
        "change request=%s result=%s index=%d", describe(change.request()), result, index);
    change.answer().accept(reply);
  }

  private void submit(Request.SubmitJob submit, Consumer<Reply> answer) {
    Optional<QueueConfig> queue = ledger.route(submit.host(), submit.path());
    if (queue.isEmpty()) {
      read(submit, answer);
      return;
    }
    String id = submit.path().substring(queue.get().pathPrefix().length());
    if (!isJobId(id)) {
      answer.accept(new Reply.Invalid("not an identifier of a job: " + id));
      return;
    }
    JobCommand command = new JobCommand.Submit(submit.draft().named(id, queue.get().name()));
    change(submit, command, answer);
  }

  private void cancel(Request.CancelJob cancel, Consumer<Reply> answer) {
    Optional<QueueConfig> queue = ledger.route(cancel.host(), cancel.path());
    if (queue.isEmpty()) {
      read(cancel, answer);
      return;
    }
    String id = cancel.path().substring(queue.get().pathPrefix().length());
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
    changeByIndex.put(proposer.applyAsLong(command), new Change(request, answer));
  }

  private void read(Request request, Consumer<Reply> answer) {
    newReads.add(new Read(0, request, answer));
  }

  private static Reply replyTo(Request request, Applied result) {
    if (result == Applied.UNKNOWN) {
      return request instanceof Request.CancelJob
          ? new Reply.NoSuchJob()
          : new Reply.NotFound("no such queue");
    }
    if (result == Applied.REFUSED) {
      return new Reply.Invalid("another wave has this number");
    }
    return new Reply.Done();
  }

  private Reply readNow(Request request) {
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
    return noQueue();
  }

  private Reply readJob(Request.GetJob get) {
    Optional<QueueConfig> queue = ledger.route(get.host(), get.path());
    if (queue.isEmpty()) {
      return noQueue();
    }
    String id = get.path().substring(queue.get().pathPrefix().length());
    if (id.isEmpty()) {
      return new Reply.Waiting(ledger.waiting(queue.get().name()));
    }
    Optional<Job> job = ledger.job(id);
    return job.isEmpty() ? new Reply.NoSuchJob() : new Reply.Status(job.get().status());
  }

  /** Before the first configuration nothing is known of any queue. */
  private Reply noQueue() {
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
