package org.plantainknot.core.fleet;

/** Phase of a VM in the replicated state. */
public enum VmPhase {
  /** Serves the services of its pool. */
  IN_POOL(true),
  /** Draining: gets no new work while requests and tasks in progress finish. */
  LEAVING(false),
  /** Drained; the platform has been or will be asked to reboot it. */
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
