package org.plantainknot.core.routing;

/** Limits retries to a part of the requests. Not thread-safe. */
final class RetryBudget {

  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double MAX_SAVED = 20;

  private double tokens = MAX_SAVED;

  void request() {
    tokens = Math.min(MAX_SAVED, tokens + RETRIES_PER_REQUEST);
  }

  boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
