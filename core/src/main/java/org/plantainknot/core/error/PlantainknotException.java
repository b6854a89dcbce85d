package org.plantainknot.core.error;

import java.util.List;
import java.util.stream.Collectors;

/** Error with a code and, where an input was at fault, the findings. */
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

  /** Returns the code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns the findings, empty where no input was at fault. */
  public List<Finding> findings() {
    return findings;
  }

  private static String describe(ErrorCode code, String message, List<Finding> findings) {
    String details = findings.stream().map(Finding::toString).collect(Collectors.joining("; "));
    return code.code() + " " + message + (details.isEmpty() ? "" : ": " + details);
  }
}
