package org.plantainknot.daemon.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.daemon.metrics.DecisionMetrics;

/**
 * Changes that are proposed to the log and not applied yet, with the requests that wait for them.
 *
 * <p>A request whose command equals that of a pending change joins it instead of being proposed
 * again. All changes that callers request are idempotent, so that a second command applied after
 * the first would have the same reply, unless a submission lies between two cancellations. Used by
 * the control thread only.
 */
final class PendingChanges {

  /** A proposed change and the consumers of its reply. */
  static final class Change {

    private final Request request;
    private final JobCommand command;
    private final List<Consumer<Reply>> answers = new ArrayList<>();

    private Change(Request request, JobCommand command) {
      this.request = request;
      this.command = command;
    }

    /** Returns the first request for this change. */
    Request request() {
      return request;
    }

    /** Returns the number of requests that wait for this change. */
    int requestCount() {
      return answers.size();
    }

    /** Passes the reply to all waiting requests. */
    void answer(Reply reply) {
      answers.forEach(answer -> answer.accept(reply));
    }
  }

  private final ToLongFunction<JobCommand> proposer;
  private final DecisionMetrics metrics;
  private final Map<Long, Change> changeByIndex = new HashMap<>();
  private final Map<JobCommand, Change> changeByCommand = new HashMap<>();
  private long submittedHeapBytes;

  /**
   * Creates an empty collection.
   *
   * @param proposer proposes a command to the log and returns its index, or a negative number if
   *     this member doesn't lead
   */
  PendingChanges(ToLongFunction<JobCommand> proposer, DecisionMetrics metrics) {
    this.proposer = proposer;
    this.metrics = metrics;
  }

  /**
   * Proposes a command, or joins the pending change with an equal command.
   *
   * <p>The request is dropped if the command can't be proposed; its sender retries it.
   */
  void add(Request request, JobCommand command, Consumer<Reply> answer) {
    if (!join(command, answer)) {
      propose(request, command, answer);
    }
  }

  /** Joins the pending change with an equal command; returns whether there is one. */
  boolean join(JobCommand command, Consumer<Reply> answer) {
    Change change = changeByCommand.get(command);
    if (change == null) {
      return false;
    }
    metrics.countJoinedRequest();
    change.answers.add(answer);
    return true;
  }

  /** Proposes a command that no pending change has; dropped if that isn't possible now. */
  void propose(Request request, JobCommand command, Consumer<Reply> answer) {
    long index = proposer.applyAsLong(command);
    if (index < 0) {
      return;
    }
    Change change = new Change(request, command);
    change.answers.add(answer);
    changeByCommand.put(command, change);
    endJoining(command);
    changeByIndex.put(index, change);
    submittedHeapBytes += heapBytes(command);
  }

  /** Returns an estimate of the heap that the pending submissions take. */
  long submittedHeapBytes() {
    return submittedHeapBytes;
  }

  private static long heapBytes(JobCommand command) {
    return command instanceof JobCommand.Submit submit ? submit.spec().heapBytes() : 0;
  }

  /** A cancellation that arrives after a submission must follow it in the log. */
  private void endJoining(JobCommand command) {
    if (command instanceof JobCommand.Submit submit) {
      changeByCommand.remove(new JobCommand.Cancel(submit.spec().id()));
    }
  }

  /** Removes the change that was proposed at a log index and is now applied, if there is one. */
  Optional<Change> remove(long index) {
    Change change = changeByIndex.remove(index);
    if (change != null) {
      changeByCommand.remove(change.command, change);
      submittedHeapBytes -= heapBytes(change.command);
    }
    return Optional.ofNullable(change);
  }

  /** Drops all changes without a reply. */
  void clear() {
    changeByIndex.clear();
    changeByCommand.clear();
    submittedHeapBytes = 0;
  }
}
