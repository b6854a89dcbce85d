package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to {@code record.txt}, one line an event. */
final class Recorder implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter writer;
  private final RunLog runs = new RunLog();

  Recorder(Path file) {
    try {
      this.writer = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the time since the start of the script. */
  long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Returns the starts and ends of runs. */
  RunLog runs() {
    return runs;
  }

  synchronized void event(String who, String what) {
    writer.printf("%7d ms  %-10s %s%n", nowMillis(), who, what);
    writer.flush();
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
