package org.plantainknot.daemon.log;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Log handler that writes to standard output on its own thread.
 *
 * <p>Log records wait in a bounded queue. If standard output is read too slowly and the queue fills
 * up, further records are dropped and counted; part of the queue is reserved for warnings and
 * errors. Once the queue is empty again, a warning reports the number of dropped records.
 */
public final class BoundedLogHandler extends Handler {

  private static final int QUEUE_CAPACITY = 8_192;
  private static final int RESERVED_FOR_WARNINGS = 1_024;

  /** Maximum wait in {@link #close} for a record that is being written. */
  private static final long CLOSE_TIMEOUT_NANOS = 500_000_000;

  private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong pending = new AtomicLong();
  private final PrintStream out;

  /** Creates a handler for standard output. Called by the log manager. */
  public BoundedLogHandler() {
    this(System.out);
  }

  BoundedLogHandler(PrintStream out) {
    this.out = out;
    setFormatter(new LineFormatter());
    Thread writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord logRecord) {
    if (!isLoggable(logRecord)) {
      return;
    }
    boolean hasRoom = isUrgent(logRecord) || queue.remainingCapacity() > RESERVED_FOR_WARNINGS;
    pending.incrementAndGet();
    if (!hasRoom || !queue.offer(logRecord)) {
      pending.decrementAndGet();
      dropped.incrementAndGet();
    }
  }

  @Override
  public void flush() {
    out.flush();
  }

  /**
   * Writes the queued records, warnings and errors first, and waits for the record that is being
   * written. The order matters because a process that terminates may not wait for all records.
   */
  @Override
  public void close() {
    List<LogRecord> queued = new ArrayList<>();
    queue.drainTo(queued);
    queued.stream().filter(BoundedLogHandler::isUrgent).forEach(this::printQueued);
    queued.stream().filter(logRecord -> !isUrgent(logRecord)).forEach(this::printQueued);
    long deadlineNanos = System.nanoTime() + CLOSE_TIMEOUT_NANOS;
    while (pending.get() > 0 && System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
    flush();
  }

  private static boolean isUrgent(LogRecord logRecord) {
    return logRecord.getLevel().intValue() >= Level.WARNING.intValue();
  }

  private void write() {
    try {
      while (true) {
        printQueued(queue.take());
        if (queue.isEmpty()) {
          reportDropped();
          flush();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reportDropped() {
    long count = dropped.getAndSet(0);
    if (count > 0) {
      print(new LogRecord(Level.WARNING, "log-lines-left-out count=" + count));
    }
  }

  private void printQueued(LogRecord logRecord) {
    print(logRecord);
    pending.decrementAndGet();
  }

  private void print(LogRecord logRecord) {
    out.print(getFormatter().format(logRecord));
  }
}
