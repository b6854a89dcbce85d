package org.plantainknot.core.schedule;

import java.util.HashMap;
import java.util.Map;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;

/**
 * When each machine was last ordered anything, whoever led, on this process's steady clock.
 *
 * <p>Kept by each controller, so that a new leader need not wait for machines that no earlier
 * leader has ordered lately. An entry is applied here after its leader acted on it or before, and
 * the steady clock may stand still meanwhile; both make a time seem later than it was. An entry
 * that is read again after a restart is as old as its time of day tells, less what clocks may be
 * wrong by.
 */
public final class MachineOrderTimes {

  /** Time by which the times of day of two controllers may differ, jumps included. */
  private static final long CLOCK_DOUBT_MILLIS = 5_000;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final Map<String, Long> orderedAtMillis = new HashMap<>();
  private long othersAtMillis = NEVER_MILLIS;

  /**
   * Notes that the record was replaced by a snapshot, which doesn't tell the times of its orders.
   *
   * @param stampMillis time of day of the last entry that the snapshot holds
   * @param wallMillis time of day
   * @param nowMillis steady time
   */
  public void restored(long stampMillis, long wallMillis, long nowMillis) {
    orderedAtMillis.clear();
    othersAtMillis = nowMillis - ageMillis(stampMillis, wallMillis);
  }

  /**
   * Notes that a command was applied.
   *
   * @param command the command
   * @param stampMillis time of day at which it was proposed
   * @param wallMillis time of day
   * @param nowMillis steady time
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
   * Returns until when a leader that takes office now leaves machines to earlier ones.
   *
   * @param waitMillis time that has to pass between the orders of two leaders
   */
  OrderWait waitOfNewLeader(JobLedger ledger, long waitMillis, long nowMillis) {
    Map<String, Long> heldUntilMillis = new HashMap<>();
    orderedAtMillis.forEach(
        (machine, atMillis) -> heldUntilMillis.put(machine, atMillis + waitMillis));
    ledger.orders().forEach(order -> heldUntilMillis.put(order.machine(), nowMillis + waitMillis));
    return new OrderWait(heldUntilMillis, othersAtMillis + waitMillis);
  }

  private static long ageMillis(long stampMillis, long wallMillis) {
    return Math.max(0, wallMillis - stampMillis - CLOCK_DOUBT_MILLIS);
  }
}
