package org.plantainknot.core.routing;

import org.plantainknot.core.admission.QueuedRequest;
import org.plantainknot.core.admission.Refusal;

/** Routing decision of a pool about a request. */
public sealed interface Decision {

  /** Returns the request that the decision is about. */
  QueuedRequest request();

  /**
   * The request is to be sent to a target now.
   *
   * @param request the request
   * @param slot slot that the request holds
   */
  record Dispatch(QueuedRequest request, Slot slot) implements Decision {}

  /**
   * The request is not run.
   *
   * @param request the request
   * @param refusal reason
   */
  record Refuse(QueuedRequest request, Refusal refusal) implements Decision {}

  /**
   * The request waits for a slot.
   *
   * @param request the request
   */
  record Wait(QueuedRequest request) implements Decision {}
}
