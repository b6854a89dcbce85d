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
    return new Vm(
        name,
        ordinal,
        present,
        wantedPool,
        byTicket,
        phase,
        rebootTicket,
        announcement,
        lastInstance);
  }

  /** Returns the VM with a reboot to be done for the ticket. */
  public Vm toReboot(long byTicket) {
    return new Vm(
        name, ordinal, pool, desiredPool, ticket, phase, byTicket, announcement, lastInstance);
  }

  /** Returns the VM in another phase. */
  public Vm inPhase(VmPhase newPhase) {
    return new Vm(
        name,
        ordinal,
        pool,
        desiredPool,
        ticket,
        newPhase,
        rebootTicket,
        announcement,
        lastInstance);
  }

  /** Returns the VM as handed to the platform; it counts as gone until it announces a new start. */
  public Vm rebooting() {
    return new Vm(
        name,
        ordinal,
        pool,
        desiredPool,
        ticket,
        VmPhase.REBOOTING,
        rebootTicket,
        null,
        lastInstance);
  }

  /** Returns whether an announcement is a late one of the instance that is being rebooted. */
  public boolean isFromBeforeReboot(Announcement late) {
    return phase == VmPhase.REBOOTING
        && announcement == null
        && late.instance().equals(lastInstance);
  }

  /** Returns the VM in its desired pool, with nothing left to do. */
  public Vm arrived() {
    return new Vm(
        name,
        ordinal,
        desiredPool,
        desiredPool,
        ticket,
        VmPhase.IN_POOL,
        0,
        announcement,
        lastInstance);
  }

  /** Returns the VM with a new announcement. */
  public Vm announced(Announcement latest) {
    return new Vm(
        name, ordinal, pool, desiredPool, ticket, phase, rebootTicket, latest, latest.instance());
  }

  /** Returns the VM as one that no longer announces itself. */
  public Vm gone() {
    return new Vm(
        name, ordinal, pool, desiredPool, ticket, phase, rebootTicket, null, lastInstance);
  }
}
