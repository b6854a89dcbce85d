package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.plantainknot.core.job.WorkerLife;

/** A leader's view of all worker incarnations: which respond, and which have expired or ended. */
final class Contacts {

  private static final long FRESH_MARGIN_MILLIS = 700;

  /** Time within which a worker that announced its departure has terminated. */
  private static final long LEAVE_GRACE_MILLIS = 1_000;

  /** Time after which an earlier leader has stopped renewing leases. */
  private static final long EARLIER_LEADER_RENEWAL_MILLIS = 1_500;

  private final WorkerDirectory directory;
  private final DispatchTiming timing;
  private final Map<WorkerLife, Contact> contacts = new HashMap<>();
  private long tickedAtMillis;

  Contacts(WorkerDirectory directory, DispatchTiming timing, long nowMillis) {
    this.directory = directory;
    this.timing = timing;
    this.tickedAtMillis = nowMillis;
  }

  void tick(long nowMillis) {
    tickedAtMillis = nowMillis;
  }

  Contact of(WorkerLife life) {
    return contacts.computeIfAbsent(life, this::newContact);
  }

  /**
   * Returns whether the worker has answered recently. Leases are extended only for such workers, so
   * that the lease of an unresponsive worker expires.
   */
  boolean isFresh(Contact contact, long nowMillis) {
    long freshMillis = timing.renewWaitMillis() + FRESH_MARGIN_MILLIS;
    return contact.hasReported() && nowMillis - contact.lastReportAtMillis() <= freshMillis;
  }

  /** Returns whether the worker has answered recently and its latest renewal has not failed. */
  boolean isAnswering(Contact contact, long nowMillis) {
    return isFresh(contact, nowMillis) && !contact.hasEnded() && !contact.hasFailed();
  }

  Optional<WorkerTarget> targetOf(WorkerLife life) {
    return directory
        .find(life.worker())
        .filter(worker -> worker.life().equals(life))
        .map(worker -> new WorkerTarget(life, worker.address()));
  }

  /**
   * Returns whether no later incarnation of the same worker can have accepted the run's start. A
   * start order names the worker but not its incarnation.
   */
  boolean cannotRunOnSuccessor(TrackedRun run, long nowMillis) {
    Optional<WorkerHeartbeat> successor =
        directory
            .find(run.life().worker())
            .filter(worker -> worker.life().bornMillis() > run.life().bornMillis());
    if (successor.isEmpty()) {
      return of(run.life()).isUnannouncedRestartExpired(nowMillis);
    }
    Contact contact = of(successor.get().life());
    boolean reportedSince =
        !run.isAwaitingAnswer() && contact.reportAskedAtMillis() > run.answeredAtMillis();
    return hasIncarnationEnded(successor.get().life(), nowMillis)
        || (reportedSince && !contact.lists(run.run()));
  }

  boolean hasIncarnationEnded(WorkerLife life, long nowMillis) {
    Contact contact = of(life);
    if (contact.hasEnded() || contact.isLeaseExpired(nowMillis)) {
      return true;
    }
    String address =
        directory
            .find(life.worker())
            .filter(worker -> worker.life().equals(life))
            .map(WorkerHeartbeat::address)
            .orElse("");
    boolean left =
        directory.hasLeftBy(life, nowMillis - LEAVE_GRACE_MILLIS) && of(life).hasFailed();
    if (left || directory.isSuperseded(life, address)) {
      contact.markEnded();
    }
    return contact.hasEnded();
  }

  private Contact newContact(WorkerLife life) {
    long earlierLeasesExpireAtMillis =
        tickedAtMillis
            + EARLIER_LEADER_RENEWAL_MILLIS
            + (long) (timing.leaseMillis() / DispatchTiming.SLOWEST_CLOCK);
    return new Contact(life, timing.leaseMillis(), earlierLeasesExpireAtMillis);
  }
}
