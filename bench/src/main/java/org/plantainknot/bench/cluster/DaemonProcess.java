package org.plantainknot.bench.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon that runs in a separate process. */
public final class DaemonProcess {

  private final Process process;

  private DaemonProcess(Process process) {
    this.process = process;
  }

  /**
   * Starts a daemon with the class path of this process.
   *
   * @param settings settings file of the daemon
   * @param log file to which the output of the daemon is appended
   * @param javaOptions further options of the Java virtual machine
   */
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
    return start(command, Path.of(""), log);
  }

  /**
   * Starts a daemon by a command.
   *
   * @param command program and arguments
   * @param folder working directory of the process
   * @param log file to which the output of the daemon is appended
   */
  public static DaemonProcess start(List<String> command, Path folder, Path log) {
    try {
      return new DaemonProcess(
          new ProcessBuilder(command)
              .directory(folder.toAbsolutePath().toFile())
              .redirectErrorStream(true)
              .redirectOutput(Redirect.appendTo(log.toFile()))
              .start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the process ID. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process is running. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process and waits for its end. */
  public void kill() {
    process.destroyForcibly();
    await(5_000);
  }

  /** Requests a graceful stop and returns whether the process ended within the timeout. */
  public boolean stop(long timeoutMillis) {
    process.destroy();
    return await(timeoutMillis);
  }

  /** Suspends the process with {@code SIGSTOP}. */
  public void freeze() {
    signal("STOP");
  }

  /** Resumes a suspended process with {@code SIGCONT}. */
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
