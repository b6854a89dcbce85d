package org.plantainknot.core.lease;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a gateway whose machine was suspended or whose clock was set holds no old lease. */
public class GatewayLeaseTest {

  private static final long LEASE_MILLIS = 2_000;
  private static final long NOW_MILLIS = 500;
  private static final long WALL_MILLIS = 1_000_000;

  private GatewayLease lease;

  @BeforeMethod
  void grant() {
    lease = new GatewayLease();
    lease.granted(lease.request(NOW_MILLIS, WALL_MILLIS), LEASE_MILLIS, 0);
  }

  @Test
  void aLeaseIsHeldForItsDurationFromTheRequest() {
    assertTrue(lease.isHeld(NOW_MILLIS + LEASE_MILLIS - 1, WALL_MILLIS + LEASE_MILLIS - 1));
    assertFalse(lease.isHeld(NOW_MILLIS + LEASE_MILLIS, WALL_MILLIS + LEASE_MILLIS));
  }

  @Test
  void aLeaseIsNotHeldAfterASuspensionThatTheMonotonicClockDoesNotCount() {
    assertFalse(lease.isHeld(NOW_MILLIS + 20, WALL_MILLIS + 20 + LEASE_MILLIS));
  }

  @Test
  void aWallClockThatIsSetBackDoesNotProlongTheLease() {
    assertFalse(lease.isHeld(NOW_MILLIS + LEASE_MILLIS, WALL_MILLIS - 5_000));
  }

  @Test
  void theNextGrantRestoresTheLease() {
    long wallMillis = WALL_MILLIS + 10_000;
    lease.granted(lease.request(NOW_MILLIS + 30, wallMillis), LEASE_MILLIS, 0);
    assertTrue(lease.isHeld(NOW_MILLIS + 40, wallMillis + 10));
  }
}
