package org.plantainknot.daemon.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * An operator and the token that authenticates them.
 *
 * @param operator name of the operator
 * @param role role of the operator
 * @param token secret token
 */
public record OperatorToken(String operator, OperatorRole role, String token) {

  /** Returns whether the secret equals the token, in a time independent of where they differ. */
  public boolean matches(String secret) {
    return MessageDigest.isEqual(
        token.getBytes(StandardCharsets.UTF_8), secret.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public String toString() {
    return operator + " (" + role + ")";
  }
}
