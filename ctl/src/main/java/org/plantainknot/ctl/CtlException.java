package org.plantainknot.ctl;

/** Signals that a command failed, with the exit code to return. */
final class CtlException extends RuntimeException {

  private final ExitCode exitCode;

  CtlException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
