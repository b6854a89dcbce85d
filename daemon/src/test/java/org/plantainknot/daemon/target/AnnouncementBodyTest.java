package org.plantainknot.daemon.target;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.vertx.core.json.Json;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests announcements that can't be used. They guard against a daemon that ends, or records a
 * target that can't be called, because of one odd announcement.
 */
public class AnnouncementBodyTest {

  private static final int VERY_DEEP = 200_000;
  private static final String ANNOUNCEMENT =
      "{\"vm\":\"vm-1\",\"instance\":\"i-1\",\"host\":\"10.0.0.9\",\"port\":PORT,"
          + "\"dataCenter\":\"d\",\"rack\":\"r\",\"slots\":8,\"connections\":64}";

  @DataProvider
  Object[][] oddPorts() {
    return new Object[][] {
      {"0"},
      {"65536"},
      {"-80"},
      {"4294967376"},
      {"1" + "0".repeat(5_000)},
      {"1e400"},
      {"[".repeat(VERY_DEEP) + "]".repeat(VERY_DEEP)},
      {"80,\"odd\":" + "[".repeat(VERY_DEEP) + "]".repeat(VERY_DEEP)},
      {"80,\"odd\":" + "{\"a\":".repeat(VERY_DEEP) + "1" + "}".repeat(VERY_DEEP)},
    };
  }

  @Test(dataProvider = "oddPorts")
  void anOddAnnouncementIsRejectedWithAnException(String port) {
    assertThrows(RuntimeException.class, () -> decode(port).validate());
  }

  @Test
  void aUsableAnnouncementIsAccepted() {
    assertEquals(decode("80").validate().port(), 80);
  }

  private static AnnouncementBody decode(String port) {
    return Json.decodeValue(ANNOUNCEMENT.replace("PORT", port), AnnouncementBody.class);
  }
}
