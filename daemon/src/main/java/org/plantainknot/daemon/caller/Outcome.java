package org.plantainknot.daemon.caller;

/** Outcome of a request, as reported to its caller. */
public enum Outcome {
  /** A target answered, and its complete answer is returned. */
  ANSWERED("answered"),
  /** The request was not sent to any target. */
  NOT_RUN("not-run"),
  /** A target may have run the request, but no answer is available. */
  MAY_HAVE_RUN("may-have-run");

  private final String headerValue;

  Outcome(String headerValue) {
    this.headerValue = headerValue;
  }

  /** Returns the value of {@link Headers#OUTCOME}. */
  public String headerValue() {
    return headerValue;
  }
}
