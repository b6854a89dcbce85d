package org.plantainknot.core.routing;

/**
 * Right to run one request on a target; to be released exactly once.
 *
 * <p>Compared by identity.
 */
public final class Slot {

  private final TargetState target;
  private final RoutableVm vm;
  private final long takenAtMillis;
  private boolean released;

  Slot(TargetState target, long takenAtMillis) {
    this.target = target;
    this.vm = target.vm();
    this.takenAtMillis = takenAtMillis;
  }

  /** Returns the VM that the slot belongs to. */
  public RoutableVm vm() {
    return vm;
  }

  TargetState target() {
    return target;
  }

  long takenAtMillis() {
    return takenAtMillis;
  }

  boolean releaseOnce() {
    boolean first = !released;
    released = true;
    return first;
  }
}
