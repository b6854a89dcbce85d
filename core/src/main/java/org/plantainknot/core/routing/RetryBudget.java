package org.plantainknot.core.routing;

/** Token bucket that limits retries to a fraction of the requests. Not thread-safe. */
final class RetryBudget {

  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double MAX_TOKENS = 20;

  private double tokens = MAX_TOKENS;

  void recordRequest() {
    tokens = Math.min(MAX_TOKENS, tokens + RETRIES_PER_REQUEST);
  }

  boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
