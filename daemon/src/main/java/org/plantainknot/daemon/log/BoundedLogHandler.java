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
import java.util.logging.SimpleFormatter;

/**
 * Handler that writes lines to standard output on a thread of its own.
 *
 * <p>Lines wait in a bounded queue. While the reader of standard output is slow, lines that find no
 * room are left out and counted; a part of the queue is kept for warnings and errors. A line says
 * how many were left out once there is room again.
 */
public final class BoundedLogHandler extends Handler {

  private static final int CAPACITY_LINES = 8_192;
  private static final int KEPT_FOR_WARNINGS_LINES = 1_024;

  /** Longest wait for a line that can't be written as the process ends. */
  private static final long CLOSE_NANOS = 500_000_000;

  private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(CAPACITY_LINES);
  private final AtomicLong leftOut = new AtomicLong();
  private final AtomicLong unwritten = new AtomicLong();
  private final PrintStream out;

  /** Creates a handler of standard output; the log manager calls this. */
  public BoundedLogHandler() {
    this(System.out);
  }

  BoundedLogHandler(PrintStream out) {
    this.out = out;
    setFormatter(new SimpleFormatter());
    Thread writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord line) {
    if (!isLoggable(line)) {
      return;
    }
    boolean room = isUrgent(line) || queue.remainingCapacity() > KEPT_FOR_WARNINGS_LINES;
    unwritten.incrementAndGet();
    if (!room || !queue.offer(line)) {
      unwritten.decrementAndGet();
      leftOut.incrementAndGet();
    }
  }

  @Override
  public void flush() {
    out.flush();
  }

  /**
   * Writes what waits, warnings and errors first, and awaits the line that is being written. Called
   * as the process ends, which may not wait for all lines.
   */
  @Override
  public void close() {
    List<LogRecord> waiting = new ArrayList<>();
    queue.drainTo(waiting);
    waiting.stream().filter(BoundedLogHandler::isUrgent).forEach(this::printQueued);
    waiting.stream().filter(line -> !isUrgent(line)).forEach(this::printQueued);
    long deadlineNanos = System.nanoTime() + CLOSE_NANOS;
    while (unwritten.get() > 0 && System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
    flush();
  }

  private static boolean isUrgent(LogRecord line) {
    return line.getLevel().intValue() >= Level.WARNING.intValue();
  }

  private void write() {
    try {
      while (true) {
        printQueued(queue.take());
        if (queue.isEmpty()) {
          reportLeftOut();
          flush();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reportLeftOut() {
    long count = leftOut.getAndSet(0);
    if (count > 0) {
      print(new LogRecord(Level.WARNING, "log-lines-left-out count=" + count));
    }
  }

  private void printQueued(LogRecord line) {
    print(line);
    unwritten.decrementAndGet();
  }

  private void print(LogRecord line) {
    out.print(getFormatter().format(line));
  }
}
