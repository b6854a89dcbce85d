package org.plantainknot.daemon.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a log record as one line: the time in UTC, the level and the message, followed by the
 * stack trace if there is one.
 */
public final class LineFormatter extends Formatter {

  /** Characters of a time with milliseconds and without a time zone. */
  private static final int TIME_CHARS = "2026-12-04T18:35:00.123".length();

  private static final String WHOLE_SECOND_FRACTION = ".000";

  @Override
  public String format(LogRecord logRecord) {
    StringBuilder line = new StringBuilder();
    line.append("time=").append(time(logRecord.getMillis()));
    line.append(" level=").append(logRecord.getLevel().getName());
    line.append(' ').append(formatMessage(logRecord));
    if (logRecord.getThrown() != null) {
      StringWriter trace = new StringWriter();
      logRecord.getThrown().printStackTrace(new PrintWriter(trace, true));
      line.append(System.lineSeparator()).append(trace.toString().stripTrailing());
    }
    return line.append(System.lineSeparator()).toString();
  }

  private static String time(long millis) {
    String text = Instant.ofEpochMilli(millis).toString();
    String withoutZone = text.substring(0, text.length() - 1);
    return withoutZone.length() == TIME_CHARS ? withoutZone : withoutZone + WHOLE_SECOND_FRACTION;
  }
}
