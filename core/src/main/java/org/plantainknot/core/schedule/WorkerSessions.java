package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.plantainknot.core.job.WorkerIncarnation;

/** A leader's view of all worker incarnations: which respond, and which have expired or ended. */
final class WorkerSessions {

  private static final long FRESH_MARGIN_MILLIS = 700;

  /** Time within which a worker that announced its departure has terminated. */
  private static final long LEAVE_GRACE_MILLIS = 1_000;

  /** Longest time after which a worker still executes an order that it has not answered. */
  private static final long MAX_ORDER_DELAY_MILLIS = 12_500;

  /** Time after which an earlier leader has stopped renewing leases. */
  private static final long EARLIER_LEADER_RENEWAL_MILLIS = 1_500;

  private final WorkerDirectory directory;
  private final DispatchTiming timing;
  private final Map<WorkerIncarnation, WorkerSession> sessions = new HashMap<>();
  private final Map<String, LostRenewal> lostRenewalByWorker = new HashMap<>();
  private long tickedAtMillis;

  /** Unanswered renewal that acknowledges ends of an incarnation. */
  private record LostRenewal(WorkerIncarnation incarnation, long sentAtMillis) {}

  WorkerSessions(WorkerDirectory directory, DispatchTiming timing, long nowMillis) {
    this.directory = directory;
    this.timing = timing;
    this.tickedAtMillis = nowMillis;
  }

  void tick(long nowMillis) {
    tickedAtMillis = nowMillis;
  }

  WorkerSession of(WorkerIncarnation incarnation) {
    return sessions.computeIfAbsent(incarnation, this::newSession);
  }

  /**
   * Returns whether the worker has answered recently. Leases are extended only for such workers, so
   * that the lease of an unresponsive worker expires.
   */
  boolean isFresh(WorkerSession session, long nowMillis) {
    long freshMillis = timing.renewWaitMillis() + FRESH_MARGIN_MILLIS;
    return session.hasReported() && nowMillis - session.lastReportAtMillis() <= freshMillis;
  }

  /** Records that a renewal got no answer. The worker may execute it later. */
  void renewalLost(WorkerSession session) {
    if (session.renewAcknowledgesEnds()) {
      WorkerIncarnation incarnation = session.incarnation();
      lostRenewalByWorker.put(
          incarnation.worker(), new LostRenewal(incarnation, session.renewSentAtMillis()));
    }
  }

  /**
   * Returns whether the worker may still execute a renewal of an earlier incarnation, which names
   * the worker only. The end numbers in it would make the worker discard ends of this incarnation.
   */
  boolean mayDiscardEnds(WorkerSession session, long nowMillis) {
    LostRenewal lost = lostRenewalByWorker.get(session.incarnation().worker());
    return lost != null
        && lost.incarnation().isEarlierThan(session.incarnation())
        && lost.sentAtMillis() >= session.earliestStartMillis()
        && nowMillis - lost.sentAtMillis() <= MAX_ORDER_DELAY_MILLIS;
  }

  /** Returns whether the worker has answered recently and its latest renewal has not failed. */
  boolean isAnswering(WorkerSession session, long nowMillis) {
    return isFresh(session, nowMillis)
        && !session.hasEnded()
        && !session.isDoubted()
        && !session.hasFailed();
  }

  Optional<WorkerTarget> targetOf(WorkerIncarnation incarnation) {
    return directory
        .find(incarnation.worker())
        .filter(worker -> worker.life().equals(incarnation))
        .map(worker -> new WorkerTarget(incarnation, worker.address()));
  }

  /**
   * Returns whether no later incarnation of the same worker can have accepted the run's start, or
   * will. A start order names the worker but not its incarnation, and the lease in it is no bound
   * for a later incarnation, whose clock has started anew.
   */
  boolean cannotRunOnSuccessor(TrackedRun run, long nowMillis) {
    Optional<WorkerIncarnation> successor = successorOf(run.incarnation());
    if (successor.isEmpty()) {
      return of(run.incarnation()).isUnannouncedRestartExpired(nowMillis);
    }
    WorkerSession session = of(successor.get());
    boolean reportedSince =
        !run.isAwaitingAnswer() && session.reportRequestedAtMillis() > run.answeredAtMillis();
    boolean fenced = reportedSince && session.rulesOut(run.id());
    return fenced
        || (hasIncarnationEnded(successor.get(), nowMillis)
            && !run.hasUnansweredStartSince(nowMillis - MAX_ORDER_DELAY_MILLIS));
  }

  /** Returns the later incarnation that the worker has announced, if there is one. */
  Optional<WorkerIncarnation> successorOf(WorkerIncarnation incarnation) {
    return directory
        .find(incarnation.worker())
        .map(WorkerHeartbeat::life)
        .filter(incarnation::isEarlierThan);
  }

  /**
   * Returns whether an incarnation has ended or holds no lease any more.
   *
   * <p>A departure proves nothing by itself: it names no incarnation, so it may be that of an
   * earlier one which arrives late. Neither does a renewal that fails, since a live worker's
   * connection may have been lost. A worker that has left and no longer listens has ended.
   */
  boolean hasIncarnationEnded(WorkerIncarnation incarnation, long nowMillis) {
    WorkerSession session = of(incarnation);
    if (session.hasEnded() || session.isLeaseExpired(nowMillis)) {
      return true;
    }
    boolean left =
        directory.hasLeftBy(incarnation, nowMillis - LEAVE_GRACE_MILLIS)
            && session.isListenerGone();
    if (left || directory.isSuperseded(incarnation)) {
      session.markEnded();
    }
    return session.hasEnded();
  }

  private WorkerSession newSession(WorkerIncarnation incarnation) {
    long earlierLeasesExpireAtMillis =
        tickedAtMillis
            + EARLIER_LEADER_RENEWAL_MILLIS
            + (long) (timing.leaseMillis() / DispatchTiming.SLOWEST_CLOCK);
    return new WorkerSession(incarnation, timing.leaseMillis(), earlierLeasesExpireAtMillis);
  }
}
