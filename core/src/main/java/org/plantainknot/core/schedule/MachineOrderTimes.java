package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;

/**
 * Time of the latest order for each machine by any leader, on this process's monotonic clock.
 *
 * <p>Kept by every controller, so that a new leader need not wait for machines that no earlier
 * leader has ordered lately. An entry is applied here after its leader acted on it or before, and
 * the monotonic clock may stop in between; both make a time seem later than it was. The age of an
 * entry that is replayed after a restart is taken from its wall-clock timestamp, less the possible
 * clock error.
 */
public final class MachineOrderTimes {

  /** Largest difference between the wall clocks of two controllers, clock jumps included. */
  private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 5_000;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final Map<String, Long> orderedAtMillis = new HashMap<>();
  private long unknownOrdersAtMillis = NEVER_MILLIS;

  /**
   * Resets the times after a snapshot replaced the replicated job state. If the snapshot doesn't
   * tell the times of its orders, each machine may have been ordered at the end of it.
   *
   * @param ledger replicated job state as of the snapshot
   * @param wallMillis current wall-clock time
   * @param nowMillis monotonic time
   */
  public void restored(JobLedger ledger, long wallMillis, long nowMillis) {
    orderedAtMillis.clear();
    unknownOrdersAtMillis = NEVER_MILLIS;
    ledger
        .orderTimes()
        .ifPresentOrElse(
            times ->
                times.forEach(
                    (machine, stampMillis) ->
                        orderedAtMillis.put(
                            machine, nowMillis - ageMillis(stampMillis, wallMillis))),
            () -> unknownOrdersAtMillis = nowMillis - ageMillis(ledger.clockMillis(), wallMillis));
  }

  /**
   * Records the time of an order or of its completion when its command is applied.
   *
   * @param command the command
   * @param stampMillis wall-clock time at which it was proposed
   * @param wallMillis current wall-clock time
   * @param nowMillis monotonic time
   */
  public void applied(JobCommand command, long stampMillis, long wallMillis, long nowMillis) {
    long atMillis = nowMillis - ageMillis(stampMillis, wallMillis);
    if (command instanceof JobCommand.OrderMachine order) {
      orderedAtMillis.merge(order.order().machine(), atMillis, Math::max);
    } else if (command instanceof JobCommand.SettleMachine settle) {
      orderedAtMillis.merge(settle.order().machine(), atMillis, Math::max);
    }
  }

  /**
   * Returns how long a leader whose term starts now must wait before it orders each machine.
   *
   * @param ledger replicated job state, whose open orders an earlier leader may still be sending
   * @param waitMillis minimum time between the orders of two leaders
   * @param nowMillis monotonic time at which the term starts
   */
  OrderWait waitForNewLeader(JobLedger ledger, long waitMillis, long nowMillis) {
    Map<String, Long> untilMillisByMachine = new HashMap<>();
    orderedAtMillis.forEach(
        (machine, atMillis) -> untilMillisByMachine.put(machine, atMillis + waitMillis));
    ledger
        .orders()
        .forEach(order -> untilMillisByMachine.put(order.machine(), nowMillis + waitMillis));
    return new OrderWait(untilMillisByMachine, unknownOrdersAtMillis + waitMillis);
  }

  private static long ageMillis(long stampMillis, long wallMillis) {
    return Math.max(0, wallMillis - stampMillis - MAX_CLOCK_DIFFERENCE_MILLIS);
  }
}
