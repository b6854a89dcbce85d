package org.plantainknot.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that each line has a time of the same length, the level and the whole message. */
public class LineFormatterTest {

  private final LineFormatter formatter = new LineFormatter();

  @DataProvider
  Object[][] times() {
    return new Object[][] {
      {"2026-12-04T18:35:00Z", "2026-12-04T18:35:00.000"},
      {"2026-12-04T18:35:01.007Z", "2026-12-04T18:35:01.007"},
      {"2026-12-04T18:35:01.120Z", "2026-12-04T18:35:01.120"},
    };
  }

  @Test(dataProvider = "times")
  void aLineStartsWithTheTimeInMilliseconds(String instant, String expected) {
    LogRecord logRecord = new LogRecord(Level.INFO, "started node={0} share=100%");
    logRecord.setInstant(Instant.parse(instant));
    String line = "time=" + expected + " level=INFO started node={0} share=100%";
    assertEquals(formatter.format(logRecord), line + System.lineSeparator());
  }

  @Test
  void theStackTraceFollowsTheLine() {
    LogRecord logRecord = new LogRecord(Level.SEVERE, "control-failed");
    logRecord.setThrown(new IllegalStateException("cause"));
    String[] lines = formatter.format(logRecord).split(System.lineSeparator());
    assertTrue(lines[0].endsWith("level=SEVERE control-failed"));
    assertEquals(lines[1], "java.lang.IllegalStateException: cause");
    assertTrue(lines[2].contains("LineFormatterTest"));
  }
}
