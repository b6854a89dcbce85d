package org.plantainknot.ctl;

/** Exit codes of the command line. */
enum ExitCode {
  /** Done. */
  OK(0),
  /** The daemon refused the command, or the ticket or settings have findings. */
  REFUSED(1),
  /** The command line is wrong, or a file can't be read. */
  USAGE(2),
  /** No entry VM answered; the command may have taken effect and can be repeated. */
  UNREACHABLE(3);

  private final int status;

  ExitCode(int status) {
    this.status = status;
  }

  int status() {
    return status;
  }
}
