package org.plantainknot.core.error;

/** Error codes reported to callers and operators. */
public enum ErrorCode {
  /** The input can't be parsed or violates a rule; the findings give the locations. */
  INVALID_INPUT("PK-101", 400),
  /** The body, a header or a list is larger than allowed. */
  TOO_LARGE("PK-102", 413),
  /** The token is missing or unknown. */
  UNAUTHENTICATED("PK-103", 401),
  /** The token's role doesn't cover the action. */
  FORBIDDEN("PK-104", 403),
  /** No such ticket, service or node. */
  NOT_FOUND("PK-105", 404),
  /** The ticket number is already used by a ticket with different content. */
  NUMBER_TAKEN("PK-201", 409),
  /** A higher ticket that touches the same items is already approved. */
  SUPERSEDED("PK-202", 409),
  /** The ticket's status doesn't allow the action. */
  WRONG_STATUS("PK-203", 409),
  /** The step would reduce a service below its availability budget. */
  BUDGET("PK-204", 409),
  /** The state on which the step was based has changed. */
  STALE("PK-205", 409),
  /** There is no quorum or no leader; no change is known to have been made. */
  UNAVAILABLE("PK-301", 503),
  /** The request timed out; the command may still take effect. */
  TIMEOUT("PK-302", 504),
  /** Unexpected internal error of the daemon. */
  INTERNAL("PK-901", 500);

  private final String code;
  private final int httpStatus;

  ErrorCode(String code, int httpStatus) {
    this.code = code;
    this.httpStatus = httpStatus;
  }

  /** Returns the stable code, as documented in docs/OPERATIONS.md. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status code of responses that report the error. */
  public int httpStatus() {
    return httpStatus;
  }
}
