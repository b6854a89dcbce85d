package org.plantainknot.core.control;

import java.util.List;
import org.plantainknot.core.claim.ClaimVerdict;
import org.plantainknot.core.claim.StoredAnswer;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.Finding;
import org.plantainknot.core.error.PlantainknotException;

/** What became of a command. */
public sealed interface Result {

  /** Returns a result of a command that took effect. */
  static Result accepted(String message) {
    return new Accepted(message);
  }

  /** Returns a result of a command that changed nothing. */
  static Result refused(ErrorCode code, String message) {
    return new Refused(code, message, List.of());
  }

  /** Returns a result of a command that changed nothing, with the reasons. */
  static Result refused(ErrorCode code, String message, List<Finding> findings) {
    return new Refused(code, message, findings);
  }

  /** Returns the message of an accepted command, or throws the refusal. */
  default String orThrow() {
    if (this instanceof Refused refused) {
      throw new PlantainknotException(refused.code(), refused.message(), refused.findings());
    }
    return this instanceof Accepted accepted ? accepted.message() : "";
  }

  /**
   * The command took effect, now or when it was first sent.
   *
   * @param message what holds now
   */
  record Accepted(String message) implements Result {}

  /**
   * The command changed nothing.
   *
   * @param code why
   * @param message why, for people
   * @param findings why, with places
   */
  record Refused(ErrorCode code, String message, List<Finding> findings) implements Result {

    /** Copies the findings. */
    public Refused {
      findings = List.copyOf(findings);
    }
  }

  /**
   * Answer to a claim.
   *
   * @param verdict whether the request may be dispatched
   * @param answer stored answer, if the request was answered before
   */
  record Claimed(ClaimVerdict verdict, StoredAnswer answer) implements Result {}
}
