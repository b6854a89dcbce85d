package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.plantainknot.core.job.RunId;
import org.plantainknot.core.job.WorkerIncarnation;

/** A leader's view of one worker incarnation: its reports, clock, leases and recent failures. */
final class WorkerSession {

  private static final long EXPIRY_MARGIN_MILLIS = 100;

  /** Time after which an order has either reached its worker or is lost. */
  private static final long ORDER_DELIVERY_MILLIS = 1_000;

  /** Maximum time by which answers on different connections may arrive out of order. */
  private static final long MAX_REORDERING_MILLIS = 1_000;

  private final WorkerIncarnation incarnation;
  private final long leaseMillis;
  private final long earlierLeasesExpireAtMillis;
  private final FailureRecord failures = new FailureRecord();
  private boolean reported;
  private long reportRequestedAtMillis;
  private long clockMillis;
  private long clockAtMillis;
  private long grantedUntilMillis;
  private boolean renewing;
  private long renewSentAtMillis;
  private long renewDueAtMillis;
  private boolean renewAcknowledgesEnds;
  private long lastProposedEnd;
  private boolean incarnationEnded;
  private boolean restarted;
  private boolean failed;
  private boolean listenerGone;
  private boolean doubted;
  private long doubtedAtMillis;
  private long doubtedSequence;
  private long restartedAtMillis;
  private long blockedUntilMillis;
  private Map<RunId, ListedRun> running = Map.of();
  private Set<RunId> ended = Set.of();
  private boolean mayOmitEnds;

  /**
   * Creates the session before the first answer.
   *
   * @param earlierLeasesExpireAtMillis time by which all leases granted by earlier leaders have
   *     expired
   */
  WorkerSession(WorkerIncarnation incarnation, long leaseMillis, long earlierLeasesExpireAtMillis) {
    this.incarnation = incarnation;
    this.leaseMillis = leaseMillis;
    this.earlierLeasesExpireAtMillis = earlierLeasesExpireAtMillis;
  }

  WorkerIncarnation incarnation() {
    return incarnation;
  }

  boolean hasReported() {
    return reported;
  }

  /** Grants a lease from now and returns its end on the worker's clock. */
  long grantLease(long nowMillis) {
    long until = clockMillis + (nowMillis - clockAtMillis) + leaseMillis;
    grantedUntilMillis = Math.max(grantedUntilMillis, until);
    return until;
  }

  /**
   * Records a report, unless a later one was recorded before.
   *
   * @return whether the report was recorded
   */
  boolean recordReport(WorkerReport report, long requestedAtMillis, long nowMillis) {
    if (reported && report.clockMillis() < clockMillis) {
      return false;
    }
    reported = true;
    failed = false;
    listenerGone = false;
    doubted &= requestedAtMillis <= doubtedAtMillis;
    reportRequestedAtMillis = requestedAtMillis;
    clockMillis = report.clockMillis();
    clockAtMillis = nowMillis;
    Map<RunId, ListedRun> listed = new HashMap<>();
    report.running().forEach(run -> listed.put(run.run(), run));
    running = listed;
    ended = report.ended().stream().map(e -> e.end().run()).collect(Collectors.toSet());
    mayOmitEnds = report.mayOmitEnds();
    return true;
  }

  /** Returns when the latest report was requested, or 0. */
  long reportRequestedAtMillis() {
    return reportRequestedAtMillis;
  }

  Map<RunId, ListedRun> running() {
    return running;
  }

  /**
   * Returns whether the worker lists ends that may be acknowledged. If it lists none, no end number
   * is acknowledged, since the worker may have restarted and numbered its ends anew.
   */
  boolean hasEndsToAcknowledge() {
    return !ended.isEmpty();
  }

  /**
   * Returns whether the latest report rules out that a run is running or has ended without being
   * acknowledged. A report that may omit ends rules out nothing.
   */
  boolean rulesOut(RunId run) {
    return !mayOmitEnds && !running.containsKey(run) && !ended.contains(run);
  }

  /**
   * Returns whether every lease of this incarnation is guaranteed to have expired.
   *
   * <p>Since its last answer, the worker's clock has advanced by at least the slowest permitted
   * rate times the time elapsed here.
   */
  boolean isLeaseExpired(long nowMillis) {
    if (!reported) {
      return nowMillis > earlierLeasesExpireAtMillis;
    }
    double workerMillis = clockMillis + DispatchTiming.SLOWEST_CLOCK * (nowMillis - clockAtMillis);
    long latestLeaseEndMillis = Math.max(grantedUntilMillis, clockMillis + leaseMillis);
    return workerMillis > latestLeaseEndMillis + EXPIRY_MARGIN_MILLIS;
  }

  long lastReportAtMillis() {
    return clockAtMillis;
  }

  boolean isRenewing() {
    return renewing;
  }

  void renewSent(long nowMillis) {
    renewing = true;
    renewSentAtMillis = nowMillis;
  }

  /** Records whether the renewal that is being sent acknowledges ends. */
  void setRenewAcknowledgesEnds(boolean acknowledgesEnds) {
    renewAcknowledgesEnds = acknowledgesEnds;
  }

  boolean renewAcknowledgesEnds() {
    return renewAcknowledgesEnds;
  }

  /**
   * Returns the earliest local time at which the incarnation can have started: its clock starts
   * with it.
   */
  long earliestStartMillis() {
    return clockAtMillis - (long) (clockMillis / DispatchTiming.SLOWEST_CLOCK);
  }

  long renewSentAtMillis() {
    return renewSentAtMillis;
  }

  void renewDone(long nextDueAtMillis) {
    renewing = false;
    renewDueAtMillis = nextDueAtMillis;
  }

  void renewFailed(CallOutcome outcome, long nextDueAtMillis) {
    renewDone(nextDueAtMillis);
    failed = true;
    listenerGone = outcome == CallOutcome.NO_LISTENER;
  }

  /** Returns whether the latest renewal failed. */
  boolean hasFailed() {
    return failed;
  }

  /** Returns whether nothing listened at the worker's address at the latest renewal. */
  boolean isListenerGone() {
    return listenerGone;
  }

  boolean isRenewDue(long nowMillis) {
    return !renewing && nowMillis >= renewDueAtMillis;
  }

  void renewSoon() {
    renewDueAtMillis = 0;
  }

  long lastProposedEnd() {
    return lastProposedEnd;
  }

  void endsProposed(long number) {
    lastProposedEnd = Math.max(lastProposedEnd, number);
  }

  boolean hasEnded() {
    return incarnationEnded;
  }

  void markEnded() {
    incarnationEnded = true;
  }

  /**
   * Notes that the incarnation has probably ended, which it disproves by a heartbeat and then an
   * answer to a later call.
   *
   * @param lastSequence number of its latest heartbeat
   */
  void doubt(long lastSequence, long nowMillis) {
    doubted = true;
    doubtedAtMillis = nowMillis;
    doubtedSequence = lastSequence;
  }

  /** Returns whether the incarnation has probably ended. */
  boolean isDoubted() {
    return doubted;
  }

  /** Returns whether a call may be answered, given the number of the latest heartbeat. */
  boolean mayAnswerAfter(long sequence) {
    return !doubted || sequence > doubtedSequence;
  }

  /** Records a call after a heartbeat, which disproves the doubt only if the call is answered. */
  void calledAfter(long sequence) {
    doubtedSequence = sequence;
  }

  /** Checks the clock in an answer; a clock that went backwards reveals a later incarnation. */
  void updateClock(long answeredMillis, long nowMillis) {
    if (answeredMillis > 0 && answeredMillis + MAX_REORDERING_MILLIS < clockMillis) {
      markRestarted(nowMillis);
    }
  }

  /** Marks the worker as restarted under a later incarnation that has sent no heartbeat yet. */
  void markRestarted(long nowMillis) {
    if (!restarted) {
      restarted = true;
      restartedAtMillis = nowMillis;
    }
    incarnationEnded = true;
  }

  /** Returns whether no lease can remain on a later incarnation that has sent no heartbeat. */
  boolean isUnannouncedRestartExpired(long nowMillis) {
    double leaseBoundMillis = (leaseMillis + EXPIRY_MARGIN_MILLIS) / DispatchTiming.SLOWEST_CLOCK;
    return !restarted || nowMillis - restartedAtMillis > ORDER_DELIVERY_MILLIS + leaseBoundMillis;
  }

  void blockUntil(long untilMillis) {
    blockedUntilMillis = Math.max(blockedUntilMillis, untilMillis);
  }

  boolean isBlocked(long nowMillis) {
    return nowMillis < blockedUntilMillis || failures.isQuarantined(nowMillis);
  }

  /** Returns the failures of the runs on this incarnation. */
  FailureRecord failures() {
    return failures;
  }
}
