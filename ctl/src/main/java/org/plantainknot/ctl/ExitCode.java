package org.plantainknot.ctl;

/** Exit codes of {@code plantainknotctl}. */
enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The daemon refused the command, or the ticket or settings have findings. */
  REFUSED(1),
  /** The command line is wrong, or a file can't be read. */
  USAGE(2),
  /** No entry VM responded; the command may have taken effect and is safe to retry. */
  UNREACHABLE(3);

  private final int status;

  ExitCode(int status) {
    this.status = status;
  }

  int status() {
    return status;
  }
}
