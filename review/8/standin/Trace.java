import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Record of what was sent, answered and run, with seconds since the start of the script. */
final class Trace implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter writer;

  Trace(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void add(String format, Object... arguments) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    String line =
        String.format(Locale.ROOT, "%8.3f ", seconds)
            + (arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments));
    writer.println(line);
    writer.flush();
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
