package org.plantainknot.core.job;

/**
 * Terms of the placement advice that tells which workers may run a step of a queue.
 *
 * @param decideMillis base time that the policy needs for an answer
 * @param eachMillis additional time per worker in the request
 * @param validMillis time for which a ticket is valid, or 0 if the queue needs no tickets
 */
public record AdviceTerms(long decideMillis, long eachMillis, long validMillis) {

  /** No advice is required: any worker of the service may run the steps. */
  public static final AdviceTerms NONE = new AdviceTerms(0, 0, 0);

  /** Returns whether a ticket is needed to start a task of the queue. */
  public boolean isRequired() {
    return validMillis > 0;
  }
}
