package org.plantainknot.core.error;

import java.util.List;
import java.util.stream.Collectors;

/** Error with an {@link ErrorCode} and, for an invalid input, the findings. */
public class PlantainknotException extends RuntimeException {

  private final ErrorCode code;
  private final List<Finding> findings;

  /** Creates an error without findings. */
  public PlantainknotException(ErrorCode code, String message) {
    this(code, message, List.of());
  }

  /** Creates an error with findings. */
  public PlantainknotException(ErrorCode code, String message, List<Finding> findings) {
    super(describe(code, message, findings));
    this.code = code;
    this.findings = List.copyOf(findings);
  }

  /** Returns the error code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns the findings, or an empty list if the error is not caused by an invalid input. */
  public List<Finding> findings() {
    return findings;
  }

  private static String describe(ErrorCode code, String message, List<Finding> findings) {
    String details = findings.stream().map(Finding::toString).collect(Collectors.joining("; "));
    return code.code() + " " + message + (details.isEmpty() ? "" : ": " + details);
  }
}
