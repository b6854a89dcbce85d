package org.plantainknot.daemon.caller;

/** What became of a request, as its caller is told. */
public enum Outcome {
  /** The target's whole answer follows. */
  ANSWERED("answered"),
  /** Nothing was sent to a target. */
  NOT_RUN("not-run"),
  /** A target may have run the request, and its answer is not known. */
  MAY_HAVE_RUN("may-have-run");

  private final String headerValue;

  Outcome(String headerValue) {
    this.headerValue = headerValue;
  }

  /** Returns the value of the header. */
  public String headerValue() {
    return headerValue;
  }
}
