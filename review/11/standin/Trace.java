import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time since its start. */
final class Trace implements AutoCloseable {

  private static final long START_NANOS = System.nanoTime();

  private final PrintWriter out;

  Trace(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the time since the start of the case in milliseconds. */
  static long now() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  synchronized void log(String format, Object... values) {
    out.printf("%8.3f %s%n", now() / 1000.0, String.format(format, values));
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
