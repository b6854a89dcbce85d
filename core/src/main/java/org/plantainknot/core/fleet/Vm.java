package org.plantainknot.core.fleet;

/**
 * Replicated state of a VM.
 *
 * @param name name of the VM
 * @param ordinal number assigned when the VM became known, which never changes
 * @param pool pool that the VM belongs to, or null if no ticket has assigned it to one
 * @param desiredPool pool that the latest ticket assigns it to
 * @param ticket number of the latest started ticket that assigns the VM, or 0
 * @param phase present phase
 * @param rebootTicket number of the ticket whose maintenance wave still has to reboot the VM, or 0
 * @param announcement latest announcement of the target, or null while it is gone
 * @param lastInstance instance of the latest announcement, kept while the target is gone
 */
public record Vm(
    String name,
    long ordinal,
    String pool,
    String desiredPool,
    long ticket,
    VmPhase phase,
    long rebootTicket,
    Announcement announcement,
    String lastInstance) {

  /** Returns a newly known VM, which belongs to no pool and has not announced itself. */
  public static Vm unnamed(String name, long ordinal) {
    return new Vm(name, ordinal, null, null, 0, VmPhase.IN_POOL, 0, null, null);
  }

  /**
   * Returns whether the VM is in a pool, serving and announced, so that it can be given new work.
   */
  public boolean isAvailable() {
    return pool != null && phase.isServing() && announcement != null;
  }

  /** Returns whether the VM still has to move to its desired pool or be rebooted. */
  public boolean isChangePending() {
    return pool != null && (!pool.equals(desiredPool) || rebootTicket != 0);
  }

  /** Returns the VM with a desired pool set by a ticket; a VM without a pool joins it at once. */
  public Vm withDesiredPool(String newPool, long ticketNumber) {
    String currentPool = pool == null ? newPool : pool;
    return toBuilder().pool(currentPool).desiredPool(newPool).ticket(ticketNumber).build();
  }

  /** Returns the VM with a pending reboot ordered by the ticket. */
  public Vm withPendingReboot(long ticketNumber) {
    return toBuilder().rebootTicket(ticketNumber).build();
  }

  /** Returns the VM in another phase. */
  public Vm inPhase(VmPhase newPhase) {
    return toBuilder().phase(newPhase).build();
  }

  /**
   * Returns the VM as handed to the platform for a reboot; it counts as gone until a new instance
   * announces itself.
   */
  public Vm rebooting() {
    return toBuilder().phase(VmPhase.REBOOTING).announcement(null).build();
  }

  /** Returns whether an announcement is a delayed one from the instance that is being rebooted. */
  public boolean isFromBeforeReboot(Announcement received) {
    return phase == VmPhase.REBOOTING
        && announcement == null
        && received.instance().equals(lastInstance);
  }

  /** Returns the VM in its desired pool, with no move or reboot pending. */
  public Vm withChangeDone() {
    return toBuilder().pool(desiredPool).phase(VmPhase.IN_POOL).rebootTicket(0).build();
  }

  /** Returns the VM with a new announcement. */
  public Vm announced(Announcement latest) {
    return toBuilder().announcement(latest).lastInstance(latest.instance()).build();
  }

  /** Returns the VM as gone, without an announcement. */
  public Vm withoutAnnouncement() {
    return toBuilder().announcement(null).build();
  }

  private Builder toBuilder() {
    return new Builder(this);
  }

  /** Builds a modified copy of a VM. */
  private static final class Builder {

    private final String name;
    private final long ordinal;
    private String pool;
    private String desiredPool;
    private long ticket;
    private VmPhase phase;
    private long rebootTicket;
    private Announcement announcement;
    private String lastInstance;

    Builder(Vm vm) {
      this.name = vm.name;
      this.ordinal = vm.ordinal;
      this.pool = vm.pool;
      this.desiredPool = vm.desiredPool;
      this.ticket = vm.ticket;
      this.phase = vm.phase;
      this.rebootTicket = vm.rebootTicket;
      this.announcement = vm.announcement;
      this.lastInstance = vm.lastInstance;
    }

    Builder pool(String value) {
      pool = value;
      return this;
    }

    Builder desiredPool(String value) {
      desiredPool = value;
      return this;
    }

    Builder ticket(long value) {
      ticket = value;
      return this;
    }

    Builder phase(VmPhase value) {
      phase = value;
      return this;
    }

    Builder rebootTicket(long value) {
      rebootTicket = value;
      return this;
    }

    Builder announcement(Announcement value) {
      announcement = value;
      return this;
    }

    Builder lastInstance(String value) {
      lastInstance = value;
      return this;
    }

    Vm build() {
      return new Vm(
          name,
          ordinal,
          pool,
          desiredPool,
          ticket,
          phase,
          rebootTicket,
          announcement,
          lastInstance);
    }
  }
}
