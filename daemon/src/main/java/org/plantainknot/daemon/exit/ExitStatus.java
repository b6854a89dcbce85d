package org.plantainknot.daemon.exit;

import java.util.concurrent.TimeUnit;
import java.util.logging.LogManager;

/** Exit status of a process that terminates itself. */
public enum ExitStatus {
  /** The process was stopped and shut down gracefully. */
  STOPPED(0),
  /** The arguments or the settings are invalid. */
  USAGE(2),
  /** The process cannot continue, for example because its state is unknown. */
  FAILED(3),
  /** The storage has failed, so that no later write can be trusted. */
  STORAGE(4);

  /** Maximum wait for the log to be written, in case standard output is blocked. */
  private static final long LOG_TIMEOUT_MILLIS = 500;

  private final int code;

  ExitStatus(int code) {
    this.code = code;
  }

  /** Returns the exit code reported to the operating system. */
  public int code() {
    return code;
  }

  /** Terminates the process, running its shutdown hooks. */
  public void exit() {
    System.exit(code);
  }

  /**
   * Terminates the process immediately, without shutdown hooks, after writing pending log lines.
   */
  public void halt() {
    Thread logWriter = new Thread(() -> LogManager.getLogManager().reset(), "log-end");
    logWriter.setDaemon(true);
    logWriter.start();
    try {
      TimeUnit.MILLISECONDS.timedJoin(logWriter, LOG_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().halt(code);
  }
}
