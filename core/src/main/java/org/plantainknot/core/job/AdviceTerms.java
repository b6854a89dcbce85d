package org.plantainknot.core.job;

/**
 * How a queue's policy tells which workers may run a step.
 *
 * @param decideMillis time that an answer takes
 * @param eachMillis time that it takes more for each worker asked about
 * @param validMillis time for which a ticket is valid
 */
public record AdviceTerms(long decideMillis, long eachMillis, long validMillis) {

  /** Any worker of the service may run the steps. */
  public static final AdviceTerms NONE = new AdviceTerms(0, 0, 0);

  /** Returns whether starts of the queue need a ticket. */
  public boolean isRequired() {
    return validMillis > 0;
  }
}
