package org.plantainknot.bench.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon as a process of its own. */
public final class DaemonProcess {

  private final Process process;

  private DaemonProcess(Process process) {
    this.process = process;
  }

  /** Starts a daemon with the class path of this process. */
  public static DaemonProcess start(Path settings, Path log, List<String> javaOptions) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(javaOptions);
    command.addAll(
        List.of(
            "-Xmx192m",
            "-XX:+UseSerialGC",
            "-cp",
            System.getProperty("java.class.path"),
            "org.plantainknot.daemon.PlantainknotDaemon",
            "--settings",
            settings.toString()));
    try {
      return new DaemonProcess(
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(Redirect.appendTo(log.toFile()))
              .start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the identifier of the process. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Ends the process at once. */
  public void kill() {
    process.destroyForcibly();
    await(5_000);
  }

  /** Asks the process to stop gracefully, and returns whether it did within the time. */
  public boolean stop(long timeoutMillis) {
    process.destroy();
    return await(timeoutMillis);
  }

  /** Freezes the process. */
  public void freeze() {
    signal("STOP");
  }

  /** Lets a frozen process go on. */
  public void thaw() {
    signal("CONT");
  }

  private void signal(String name) {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean await(long timeoutMillis) {
    try {
      return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
