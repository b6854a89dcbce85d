package org.plantainknot.core.error;

import java.util.ArrayList;
import java.util.List;

/** Collects the findings of a validation, so that they are reported together. */
public final class Findings {

  private final List<Finding> findings = new ArrayList<>();

  /** Adds a finding. */
  public void add(String place, String problem) {
    findings.add(new Finding(place, problem));
  }

  /** Adds a finding unless the condition holds. */
  public void require(boolean condition, String place, String problem) {
    if (!condition) {
      add(place, problem);
    }
  }

  /** Returns whether there are no findings. */
  public boolean isEmpty() {
    return findings.isEmpty();
  }

  /** Returns the findings collected so far. */
  public List<Finding> asList() {
    return List.copyOf(findings);
  }

  /**
   * Throws an {@link ErrorCode#INVALID_INPUT} error that lists the findings, if there are any.
   *
   * @param message message of the error
   */
  public void throwIfAny(String message) {
    if (!findings.isEmpty()) {
      throw new PlantainknotException(ErrorCode.INVALID_INPUT, message, findings);
    }
  }
}
