package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.job.StepId;
import org.plantainknot.core.job.WorkerLife;

/**
 * Asks the policy of queues which workers may run a step, and keeps the tickets.
 *
 * <p>Answers a load in which each call takes the longer the more workers it names, and calls of one
 * process are answered one after the other: asks for what finds no room with the tickets there are,
 * in the order of planning, one call at a time. Not thread-safe.
 */
public final class Advisor {

  private static final int MOST_WORKERS = 30;

  /** Time that a start needs to reach its worker. */
  private static final long START_MILLIS = 200;

  private static final long RETRY_MILLIS = 200;

  /** Ticket for a step, which an empty text refuses for good. */
  private record Ticket(String text, long untilMillis) {

    boolean isKnown(long nowMillis) {
      return text.isEmpty() || isValid(nowMillis);
    }

    boolean isValid(long nowMillis) {
      return !text.isEmpty() && nowMillis + START_MILLIS < untilMillis;
    }
  }

  private static final Ticket REFUSED = new Ticket("", 0);

  private final JobLedger ledger;
  private final Map<StepId, Map<WorkerLife, Ticket>> ticketsByStep = new HashMap<>();
  private final Map<StepId, List<WorkerLife>> wanted = new LinkedHashMap<>();
  private boolean asking;
  private long askAtMillis;

  Advisor(JobLedger ledger) {
    this.ledger = ledger;
  }

  /** Forgets what was wanted, since planning begins anew. */
  void beginRound() {
    wanted.clear();
  }

  /** Notes that a step waits for workers of which it is not known whether they may run it. */
  void want(StepId step, List<WorkerLife> candidates, long nowMillis) {
    Map<WorkerLife, Ticket> known = ticketsByStep.getOrDefault(step, Map.of());
    List<WorkerLife> unknown =
        candidates.stream()
            .filter(life -> !known.containsKey(life) || !known.get(life).isKnown(nowMillis))
            .limit(MOST_WORKERS)
            .toList();
    if (!unknown.isEmpty()) {
      wanted.putIfAbsent(step, unknown);
    }
  }

  /** Returns the next call, if one is wanted and none is under way. */
  public Optional<Action.Advise> next(long nowMillis) {
    if (asking || wanted.isEmpty() || nowMillis < askAtMillis) {
      return Optional.empty();
    }
    Map.Entry<StepId, List<WorkerLife>> first = wanted.entrySet().iterator().next();
    wanted.remove(first.getKey());
    asking = true;
    return Optional.of(new Action.Advise(first.getKey(), first.getValue()));
  }

  /** Takes an answer; workers that it doesn't name may not run the step. */
  public void answered(Action.Advise asked, Advice advice, long sentAtMillis) {
    asking = false;
    forgetEndedJobs();
    Map<WorkerLife, Ticket> tickets =
        ticketsByStep.computeIfAbsent(asked.step(), step -> new HashMap<>());
    for (WorkerLife life : asked.workers()) {
      String text = advice.ticketByWorker().get(life.worker());
      tickets.put(
          life, text == null ? REFUSED : new Ticket(text, sentAtMillis + advice.validMillis()));
    }
  }

  /** Notes that a call had no answer. */
  public void failed(long nowMillis) {
    asking = false;
    askAtMillis = nowMillis + RETRY_MILLIS;
  }

  /** Returns a valid ticket, or an empty text. */
  String ticket(StepId step, WorkerLife life, long nowMillis) {
    Ticket ticket = ticketsByStep.getOrDefault(step, Map.of()).get(life);
    return ticket != null && ticket.isValid(nowMillis) ? ticket.text() : "";
  }

  /** Forgets a ticket that a worker has refused. */
  void refused(StepId step, WorkerLife life) {
    ticketsByStep.getOrDefault(step, new HashMap<>()).remove(life);
  }

  private void forgetEndedJobs() {
    List<StepId> ended = new ArrayList<>();
    for (StepId step : ticketsByStep.keySet()) {
      if (ledger.job(step.job()).map(job -> job.status().isEnded()).orElse(true)) {
        ended.add(step);
      }
    }
    ticketsByStep.keySet().removeAll(ended);
  }
}
