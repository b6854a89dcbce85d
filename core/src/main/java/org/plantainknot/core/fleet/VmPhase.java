package org.plantainknot.core.fleet;

/** Where a VM stands in its life, as the log has it. */
public enum VmPhase {
  /** Serves the services of its pool. */
  IN_POOL(true),
  /** Gets no new work; requests and tasks in progress are finished. */
  LEAVING(false),
  /** Is drained, and the platform was or will be asked to reboot it. */
  REBOOTING(false);

  private final boolean serving;

  VmPhase(boolean serving) {
    this.serving = serving;
  }

  /** Returns whether the VM may be given new work. */
  public boolean isServing() {
    return serving;
  }
}
