package org.plantainknot.daemon.operator;

/** Names of the headers between operators and daemons. */
public final class OperatorHeaders {

  /** Identifier of a command; a resend with the same one gets the first result. */
  public static final String COMMAND_ID = "Plantainknot-Command-Id";

  private OperatorHeaders() {}
}
