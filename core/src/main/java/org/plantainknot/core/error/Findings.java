package org.plantainknot.core.error;

import java.util.ArrayList;
import java.util.List;

/** Collects findings, so that they are reported together. */
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

  /** Returns whether nothing was found. */
  public boolean isEmpty() {
    return findings.isEmpty();
  }

  /** Returns the findings so far. */
  public List<Finding> asList() {
    return List.copyOf(findings);
  }

  /** Throws if anything was found. */
  public void throwIfAny(String what) {
    if (!findings.isEmpty()) {
      throw new PlantainknotException(ErrorCode.INVALID_INPUT, what, findings);
    }
  }
}
