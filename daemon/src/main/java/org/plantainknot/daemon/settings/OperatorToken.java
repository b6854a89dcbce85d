package org.plantainknot.daemon.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * An operator and the token that stands for him.
 *
 * @param operator name of the operator
 * @param role what he may do
 * @param token the secret
 */
public record OperatorToken(String operator, OperatorRole role, String token) {

  /** Returns whether the secret matches, in a time that doesn't depend on where it differs. */
  public boolean matches(String secret) {
    return MessageDigest.isEqual(
        token.getBytes(StandardCharsets.UTF_8), secret.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public String toString() {
    return operator + " (" + role + ")";
  }
}
