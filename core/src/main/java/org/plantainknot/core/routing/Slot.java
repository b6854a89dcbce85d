package org.plantainknot.core.routing;

/**
 * Permit to run one request on a target, which must be released exactly once.
 *
 * <p>Slots are compared by identity.
 */
public final class Slot {

  private final TargetState target;
  private final RoutableVm vm;
  private final long acquiredAtMillis;
  private boolean released;

  Slot(TargetState target, long acquiredAtMillis) {
    this.target = target;
    this.vm = target.vm();
    this.acquiredAtMillis = acquiredAtMillis;
  }

  /** Returns the VM that the slot belongs to. */
  public RoutableVm vm() {
    return vm;
  }

  TargetState target() {
    return target;
  }

  long acquiredAtMillis() {
    return acquiredAtMillis;
  }

  /** Marks the slot as released, and returns whether it was not released before. */
  boolean markReleased() {
    boolean first = !released;
    released = true;
    return first;
  }
}
