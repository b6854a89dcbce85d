package standin;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Record of what was sent, answered and run, with milliseconds since the start of the case. */
public final class Trace implements AutoCloseable {

  private final BufferedWriter out;
  private boolean closed;
  private final long startNanos = System.nanoTime();

  public Trace(Path file) throws IOException {
    this.out = Files.newBufferedWriter(file);
  }

  /** Returns the milliseconds since the start of the case. */
  public long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a line to the record. */
  public synchronized void log(String format, Object... arguments) {
    String line = String.format(Locale.ROOT, "%7d ", millis()) + format(format, arguments);
    if (closed) {
      return;
    }
    try {
      out.write(line);
      out.newLine();
      out.flush();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Writes a line to the record and to standard output. */
  public void say(String format, Object... arguments) {
    log(format, arguments);
    System.out.println(format(format, arguments));
  }

  private static String format(String format, Object... arguments) {
    return arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    out.close();
  }
}
