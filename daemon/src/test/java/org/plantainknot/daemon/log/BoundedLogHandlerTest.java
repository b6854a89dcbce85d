package org.plantainknot.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.SimpleFormatter;
import org.testng.annotations.Test;

/** Tests logging while standard output is blocked, and closing the handler. */
public class BoundedLogHandlerTest {

  private static final int LINES = 50_000;

  /** Output that blocks all writes until it is released. */
  private static final class BlockedOutput extends OutputStream {
    private final CountDownLatch released = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Override
    public void write(int b) {
      try {
        released.await(20, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      synchronized (written) {
        written.write(b);
      }
    }

    String text() {
      synchronized (written) {
        return written.toString(StandardCharsets.UTF_8);
      }
    }
  }

  @Test
  void blockedOutputDropsLinesInsteadOfBlockingTheLoggingThread() throws InterruptedException {
    BlockedOutput output = new BlockedOutput();
    BoundedLogHandler handler = new BoundedLogHandler(new PrintStream(output, true));
    for (int i = 0; i < LINES; i++) {
      handler.publish(new LogRecord(Level.INFO, "line-" + i));
    }
    handler.publish(new LogRecord(Level.WARNING, "urgent-line"));
    assertEquals(output.text(), "");
    output.released.countDown();
    for (int i = 0; i < 200 && !output.text().contains("left-out"); i++) {
      Thread.sleep(50);
    }
    assertTrue(output.text().contains("log-lines-left-out count="));
    assertTrue(output.text().contains("urgent-line"));
    assertTrue(output.text().contains("line-0"));
  }

  @Test
  void closeWaitsForTheRecordBeingWritten() throws InterruptedException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BoundedLogHandler handler = new BoundedLogHandler(new PrintStream(bytes, true));
    CountDownLatch formatting = new CountDownLatch(1);
    handler.setFormatter(
        new SimpleFormatter() {
          @Override
          public String format(LogRecord logRecord) {
            formatting.countDown();
            pause();
            return logRecord.getMessage();
          }
        });
    handler.publish(new LogRecord(Level.INFO, "the last line"));
    formatting.await();
    handler.close();
    assertTrue(bytes.toString().contains("the last line"));
  }

  /** A halting process waits only briefly for its log, and logs the reason for halting last. */
  @Test
  void closeWritesErrorsBeforeOtherQueuedRecords() throws InterruptedException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    BoundedLogHandler handler = new BoundedLogHandler(new PrintStream(bytes, true));
    CountDownLatch writing = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    handler.setFormatter(
        new SimpleFormatter() {
          @Override
          public String format(LogRecord logRecord) {
            if (logRecord.getMessage().equals("first")) {
              writing.countDown();
              awaitQuietly(released);
            }
            return logRecord.getMessage() + " ";
          }
        });
    handler.publish(new LogRecord(Level.INFO, "first"));
    writing.await();
    handler.publish(new LogRecord(Level.INFO, "second"));
    handler.publish(new LogRecord(Level.SEVERE, "failure"));
    handler.close();
    released.countDown();
    assertTrue(bytes.toString().startsWith("failure second "), bytes.toString());
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await(20, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(100);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
