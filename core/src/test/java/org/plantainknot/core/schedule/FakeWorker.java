package org.plantainknot.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.plantainknot.core.job.EndKind;
import org.plantainknot.core.job.RunEnd;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.TaskId;
import org.plantainknot.core.job.WorkerIncarnation;
import org.plantainknot.core.placement.Resources;

/** Reference worker in virtual time that implements fencing, leases, stops and the list of ends. */
public final class FakeWorker {

  static final long LEASE_MILLIS = 6_000;
  private static final double CLOCK_RATE = 0.98;
  private static final int MAX_LISTED_ENDS = 500;

  private record Running(long startedAtMillis, long durationMillis, boolean fails) {}

  private final String address;
  private final Resources capacity;
  private final List<String> labels;
  private final Map<RunId, Running> running = new LinkedHashMap<>();
  private final Map<TaskId, Integer> highestClosedRun = new HashMap<>();
  private final List<ListedEnd> ended = new ArrayList<>();
  private final Set<Long> endsBeforeLapse = new HashSet<>();
  private final DispatchOracle oracle;
  private WorkerIncarnation incarnation;
  private long bornAtMillis;
  private long fence;
  private long leaseUntilMillis;
  private long nextEnd = 1;
  private long sequence;
  private int maxListedEnds = MAX_LISTED_ENDS;

  public FakeWorker(
      String address, Resources capacity, List<String> labels, DispatchOracle oracle) {
    this.address = address;
    this.capacity = capacity;
    this.labels = labels;
    this.oracle = oracle;
  }

  public void startIncarnation(String id, long nowMillis) {
    running.keySet().forEach(oracle::runLost);
    running.clear();
    highestClosedRun.clear();
    ended.clear();
    endsBeforeLapse.clear();
    incarnation = new WorkerIncarnation(id, nowMillis);
    bornAtMillis = nowMillis;
    fence = 0;
    leaseUntilMillis = 0;
    nextEnd = 1;
    sequence = 0;
  }

  /** Sets how many ends a report lists at the most. */
  void setMaxListedEnds(int maxListedEnds) {
    this.maxListedEnds = maxListedEnds;
  }

  public WorkerIncarnation incarnation() {
    return incarnation;
  }

  public WorkerHeartbeat heartbeat() {
    return new WorkerHeartbeat(
        incarnation,
        ++sequence,
        "s",
        address,
        "dc",
        WorkerPhase.READY,
        0,
        capacity,
        labels,
        "m-" + address);
  }

  public long clock(long nowMillis) {
    return (long) (CLOCK_RATE * (nowMillis - bornAtMillis));
  }

  /** Ends the runs that are complete or, once the lease has expired, all runs. */
  public void advance(long nowMillis) {
    boolean lapsed = clock(nowMillis) > leaseUntilMillis;
    if (lapsed) {
      ended.forEach(listed -> endsBeforeLapse.add(listed.number()));
    }
    for (Map.Entry<RunId, Running> entry : List.copyOf(running.entrySet())) {
      Running run = entry.getValue();
      if (lapsed) {
        end(entry.getKey(), EndKind.LAPSED);
      } else if (nowMillis - run.startedAtMillis() >= run.durationMillis()) {
        end(entry.getKey(), run.fails() ? EndKind.FAILED : EndKind.DONE);
      }
    }
  }

  public CallOutcome start(Action.Start start, long durationMillis, boolean fails, long nowMillis) {
    advance(nowMillis);
    if (!start.target().life().worker().equals(incarnation.worker())) {
      return CallOutcome.OTHER_LIFE;
    } else if (start.fencingToken() < fence) {
      return CallOutcome.FENCED;
    }
    fence = start.fencingToken();
    RunId run = start.run();
    if (running.containsKey(run)) {
      extend(start.untilMillis(), nowMillis);
      return CallOutcome.ACCEPTED;
    } else if (run.run() <= highestClosedRun.getOrDefault(run.task(), 0)) {
      return CallOutcome.OLD;
    } else if (start.untilMillis() <= clock(nowMillis)) {
      return CallOutcome.LATE;
    }
    extend(start.untilMillis(), nowMillis);
    if (!oracle.fits(run, running.keySet(), capacity)) {
      return CallOutcome.NO_ROOM;
    }
    running.put(run, new Running(nowMillis, durationMillis, fails));
    oracle.started(run, nowMillis);
    return CallOutcome.ACCEPTED;
  }

  public CallOutcome stop(Action.Stop stop, long nowMillis) {
    advance(nowMillis);
    if (!stop.target().life().worker().equals(incarnation.worker())) {
      return CallOutcome.OTHER_LIFE;
    } else if (stop.fencingToken() < fence) {
      return CallOutcome.FENCED;
    }
    fence = stop.fencingToken();
    highestClosedRun.merge(stop.run().task(), stop.run().run(), Math::max);
    if (running.containsKey(stop.run())) {
      end(stop.run(), EndKind.STOPPED);
    }
    return CallOutcome.ACCEPTED;
  }

  /** Returns the report, or null if the renewal is fenced or addressed to another worker. */
  public WorkerReport renew(Action.Renew renew, long nowMillis) {
    advance(nowMillis);
    boolean other = !renew.target().life().worker().equals(incarnation.worker());
    if (other || renew.fencingToken() < fence) {
      return null;
    }
    fence = renew.fencingToken();
    oracle.endsCommitted(
        ended.stream().filter(listed -> !endsBeforeLapse.contains(listed.number())).toList(),
        renew.acknowledgedEnd());
    ended.removeIf(listed -> listed.number() <= renew.acknowledgedEnd());
    if (renew.untilMillis() > 0) {
      extend(renew.untilMillis(), nowMillis);
    }
    List<ListedRun> list =
        running.keySet().stream().map(run -> new ListedRun(run, "", 100, 0)).toList();
    List<ListedEnd> listedEnds = ended.stream().limit(maxListedEnds).toList();
    return new WorkerReport(
        incarnation.bornMillis(),
        clock(nowMillis),
        list,
        listedEnds,
        listedEnds.size() == maxListedEnds);
  }

  private void extend(long untilMillis, long nowMillis) {
    long maxUntilMillis = clock(nowMillis) + LEASE_MILLIS;
    leaseUntilMillis = Math.max(leaseUntilMillis, Math.min(untilMillis, maxUntilMillis));
  }

  private void end(RunId run, EndKind kind) {
    running.remove(run);
    highestClosedRun.merge(run.task(), run.run(), Math::max);
    ended.add(new ListedEnd(nextEnd++, new RunEnd(run, kind, "")));
    oracle.ended(incarnation, run, kind);
  }
}
