package org.plantainknot.ctl;

/** A command that failed, with the exit code. */
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
