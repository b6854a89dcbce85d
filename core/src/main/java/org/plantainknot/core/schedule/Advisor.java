package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.StepId;
import org.plantainknot.core.job.WorkerIncarnation;

/**
 * Queries the policies of queues for the workers that may run a step, and caches the tickets.
 *
 * <p>The duration of a policy call grows with the number of workers in it, and the calls of one
 * process are answered sequentially. Therefore only steps that cannot be placed with the cached
 * tickets are queried, in planning order and one call at a time. Not thread-safe.
 */
public final class Advisor {

  private static final int MAX_WORKERS_PER_CALL = 30;

  /** Maximum time that a start order takes to reach its worker. */
  private static final long START_DELIVERY_MILLIS = 200;

  private static final long RETRY_MILLIS = 200;

  /** Ticket for a step; an empty text means that the policy permanently denies the step. */
  private record Ticket(String text, long untilMillis) {

    boolean isKnown(long nowMillis) {
      return text.isEmpty() || isValid(nowMillis);
    }

    boolean isValid(long nowMillis) {
      return !text.isEmpty() && nowMillis + START_DELIVERY_MILLIS < untilMillis;
    }
  }

  private static final Ticket REFUSED = new Ticket("", 0);

  private final JobLedger ledger;
  private final Map<StepId, Map<WorkerIncarnation, Ticket>> ticketsByStep = new HashMap<>();
  private final Map<StepId, List<WorkerIncarnation>> wanted = new LinkedHashMap<>();
  private boolean callInProgress;
  private long nextCallAtMillis;

  Advisor(JobLedger ledger) {
    this.ledger = ledger;
  }

  /** Starts a planning round by discarding the wanted steps of the previous one. */
  void startPlanningRound() {
    wanted.clear();
  }

  /** Registers a step that needs workers; those without a cached decision will be queried. */
  void requestAdvice(StepId step, List<WorkerIncarnation> candidates, long nowMillis) {
    Map<WorkerIncarnation, Ticket> known = ticketsByStep.getOrDefault(step, Map.of());
    List<WorkerIncarnation> unknown =
        candidates.stream()
            .filter(
                incarnation ->
                    !known.containsKey(incarnation) || !known.get(incarnation).isKnown(nowMillis))
            .limit(MAX_WORKERS_PER_CALL)
            .toList();
    if (!unknown.isEmpty()) {
      wanted.putIfAbsent(step, unknown);
    }
  }

  /** Returns the next policy call, if one is wanted and none is in progress. */
  public Optional<Action.Advise> next(long nowMillis) {
    if (callInProgress || wanted.isEmpty() || nowMillis < nextCallAtMillis) {
      return Optional.empty();
    }
    Map.Entry<StepId, List<WorkerIncarnation>> first = wanted.entrySet().iterator().next();
    wanted.remove(first.getKey());
    callInProgress = true;
    return Optional.of(new Action.Advise(first.getKey(), first.getValue()));
  }

  /** Records the answer to a call; workers missing from it may not run the step. */
  public void answered(Action.Advise call, Advice advice, long sentAtMillis) {
    callInProgress = false;
    removeTicketsOfEndedJobs();
    Map<WorkerIncarnation, Ticket> tickets =
        ticketsByStep.computeIfAbsent(call.step(), step -> new HashMap<>());
    for (WorkerIncarnation incarnation : call.workers()) {
      String text = advice.ticketByWorker().get(incarnation.worker());
      tickets.put(
          incarnation,
          text == null ? REFUSED : new Ticket(text, sentAtMillis + advice.validMillis()));
    }
  }

  /** Handles a call that was not answered. */
  public void failed(long nowMillis) {
    callInProgress = false;
    nextCallAtMillis = nowMillis + RETRY_MILLIS;
  }

  /** Returns a valid ticket, or an empty string. */
  String ticket(StepId step, WorkerIncarnation incarnation, long nowMillis) {
    Ticket ticket = ticketsByStep.getOrDefault(step, Map.of()).get(incarnation);
    return ticket != null && ticket.isValid(nowMillis) ? ticket.text() : "";
  }

  /** Discards a ticket that a worker has refused. */
  void refused(StepId step, WorkerIncarnation incarnation) {
    ticketsByStep.getOrDefault(step, new HashMap<>()).remove(incarnation);
  }

  private void removeTicketsOfEndedJobs() {
    List<StepId> ended = new ArrayList<>();
    for (StepId step : ticketsByStep.keySet()) {
      if (ledger.job(step.job()).map(job -> job.status().isEnded()).orElse(true)) {
        ended.add(step);
      }
    }
    ticketsByStep.keySet().removeAll(ended);
  }
}
