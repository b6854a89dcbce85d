package org.plantainknot.core.schedule;

/**
 * A worker's answer to an order.
 *
 * @param outcome the result of the order
 * @param clockMillis the worker's clock in milliseconds, or 0 if the answer does not contain it
 */
public record OrderAnswer(CallOutcome outcome, long clockMillis) {

  /** No answer came. */
  public static final OrderAnswer NONE = new OrderAnswer(CallOutcome.NO_ANSWER, 0);
}
