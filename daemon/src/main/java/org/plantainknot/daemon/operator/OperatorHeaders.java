package org.plantainknot.daemon.operator;

/** HTTP headers exchanged by operators and daemons. */
public final class OperatorHeaders {

  /** Identifier of a command; a retry with the same identifier gets the first result. */
  public static final String COMMAND_ID = "Plantainknot-Command-Id";

  private OperatorHeaders() {}
}
