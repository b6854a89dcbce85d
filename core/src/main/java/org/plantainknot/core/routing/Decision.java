package org.plantainknot.core.routing;

import org.plantainknot.core.admission.QueuedRequest;
import org.plantainknot.core.admission.Refusal;

/** What a pool decided about a request. */
public sealed interface Decision {

  /** The request that the decision is about. */
  QueuedRequest request();

  /**
   * The request is to be sent to a target now.
   *
   * @param request the request
   * @param slot slot that it holds
   */
  record Dispatch(QueuedRequest request, Slot slot) implements Decision {}

  /**
   * The request is not run.
   *
   * @param request the request
   * @param refusal why
   */
  record Refuse(QueuedRequest request, Refusal refusal) implements Decision {}

  /**
   * The request waits for a slot.
   *
   * @param request the request
   */
  record Wait(QueuedRequest request) implements Decision {}
}
