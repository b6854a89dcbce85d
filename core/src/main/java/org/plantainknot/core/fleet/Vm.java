package org.plantainknot.core.fleet;

/**
 * A VM, as the log has it.
 *
 * @param name name of the VM
 * @param ordinal number given at first sight, which never changes
 * @param pool the one pool that the VM belongs to, or null where no ticket has named it
 * @param desiredPool pool that the latest ticket wants
 * @param ticket number of the ticket that holds the VM, or 0
 * @param phase where the VM stands
 * @param rebootTicket number of the ticket whose wave has yet to reboot the VM, or 0
 * @param announcement what the target last said, or null while it is gone
 * @param lastInstance instance that was last seen, also while the target is gone
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

  /** Returns a VM that nobody has named or heard of before. */
  public static Vm unnamed(String name, long ordinal) {
    return new Vm(name, ordinal, null, null, 0, VmPhase.IN_POOL, 0, null, null);
  }

  /** Returns whether the VM can be given new work. */
  public boolean isAvailable() {
    return pool != null && phase.isServing() && announcement != null;
  }

  /** Returns whether the VM isn't yet as its tickets want it. */
  public boolean isChangePending() {
    return pool != null && (!pool.equals(desiredPool) || rebootTicket != 0);
  }

  /** Returns the VM as a ticket wants it; one without a pool is placed at once. */
  public Vm wanted(String wantedPool, long byTicket) {
    String present = pool == null ? wantedPool : pool;
    return toBuilder().pool(present).desiredPool(wantedPool).ticket(byTicket).build();
  }

  /** Returns the VM with a reboot to be done for the ticket. */
  public Vm toReboot(long byTicket) {
    return toBuilder().rebootTicket(byTicket).build();
  }

  /** Returns the VM in another phase. */
  public Vm inPhase(VmPhase newPhase) {
    return toBuilder().phase(newPhase).build();
  }

  /** Returns the VM as handed to the platform; it counts as gone until it announces a new start. */
  public Vm rebooting() {
    return toBuilder().phase(VmPhase.REBOOTING).announcement(null).build();
  }

  /** Returns whether an announcement is a late one of the instance that is being rebooted. */
  public boolean isFromBeforeReboot(Announcement late) {
    return phase == VmPhase.REBOOTING
        && announcement == null
        && late.instance().equals(lastInstance);
  }

  /** Returns the VM in its desired pool, with nothing left to do. */
  public Vm arrived() {
    return toBuilder().pool(desiredPool).phase(VmPhase.IN_POOL).rebootTicket(0).build();
  }

  /** Returns the VM with a new announcement. */
  public Vm announced(Announcement latest) {
    return toBuilder().announcement(latest).lastInstance(latest.instance()).build();
  }

  /** Returns the VM as one that no longer announces itself. */
  public Vm gone() {
    return toBuilder().announcement(null).build();
  }

  private Builder toBuilder() {
    return new Builder(this);
  }

  /** Builds a VM that differs from another one in some parts. */
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
