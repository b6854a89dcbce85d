package org.plantainknot.daemon.caller;

import org.plantainknot.core.admission.Refusal;

/** Thrown when a request is refused before it gets a slot. */
final class RefusedException extends RuntimeException {

  private final Refusal refusal;

  RefusedException(Refusal refusal) {
    super(refusal.reason(), null, false, false);
    this.refusal = refusal;
  }

  Refusal refusal() {
    return refusal;
  }
}
