package org.plantainknot.core.control;

import java.util.List;
import org.plantainknot.core.claim.ClaimVerdict;
import org.plantainknot.core.claim.StoredAnswer;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.Finding;
import org.plantainknot.core.error.PlantainknotException;

/** Result of a command. */
public sealed interface Result {

  /** Returns the result of a command that took effect. */
  static Result accepted(String message) {
    return new Accepted(message);
  }

  /** Returns the result of a command that changed nothing. */
  static Result refused(ErrorCode code, String message) {
    return new Refused(code, message, List.of());
  }

  /** Returns the result of a command that changed nothing, with findings that explain it. */
  static Result refused(ErrorCode code, String message, List<Finding> findings) {
    return new Refused(code, message, findings);
  }

  /** Returns the message of an accepted command, empty for a claim, or throws the refusal. */
  default String orThrow() {
    if (this instanceof Refused refused) {
      throw new PlantainknotException(refused.code(), refused.message(), refused.findings());
    }
    return this instanceof Accepted accepted ? accepted.message() : "";
  }

  /**
   * The command took effect, now or when it was first sent.
   *
   * @param message state after the command
   */
  record Accepted(String message) implements Result {}

  /**
   * The command changed nothing.
   *
   * @param code code of the reason
   * @param message human-readable reason
   * @param findings problems found, each with its place
   */
  record Refused(ErrorCode code, String message, List<Finding> findings) implements Result {

    /** Copies the findings. */
    public Refused {
      findings = List.copyOf(findings);
    }
  }

  /**
   * Result of a command that opens a claim.
   *
   * @param verdict whether the request may be dispatched
   * @param answer stored answer if the request was answered before, otherwise null
   */
  record Claimed(ClaimVerdict verdict, StoredAnswer answer) implements Result {}
}
