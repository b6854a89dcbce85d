package org.plantainknot.core.schedule;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when the list of machines is requested. */
public class MachineTableTest {

  private static final int TICK_MILLIS = 20;
  private static final int SECOND_MILLIS = 1_000;

  /** Several leaders may follow each other within a second, and other readers share the limit. */
  private static final int MAX_FAILED_PER_SECOND = 5;

  private MachineTable machines;

  @BeforeMethod
  void createEmptyTable() {
    machines = new MachineTable();
  }

  /** Guards against a request every tick while the platform refuses connections. */
  @Test
  void aListThatFailsAtOnceIsRequestedAgainOnlyAfterAPause() {
    int requests = 0;
    for (long now = SECOND_MILLIS; now < 2 * SECOND_MILLIS; now += TICK_MILLIS) {
      if (machines.markRequestedIfDue(now)) {
        requests++;
        machines.listFailed();
      }
    }
    assertTrue(requests >= 2, requests + " requests");
    assertTrue(requests <= MAX_FAILED_PER_SECOND, requests + " requests");
  }

  @Test
  void theFirstListIsRequestedAtOnce() {
    assertTrue(machines.markRequestedIfDue(0));
  }

  @Test
  void aListThatIsRequestedOrFreshIsNotRequestedAgain() {
    machines.markRequestedIfDue(SECOND_MILLIS);
    assertFalse(machines.markRequestedIfDue(SECOND_MILLIS + 1));
    machines.replaceAll(List.of());
    assertFalse(machines.markRequestedIfDue(2 * SECOND_MILLIS));
  }
}
