package org.plantainknot.core.control;

import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.fleet.Budgets;
import org.plantainknot.core.fleet.Fleet;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.fleet.VmPhase;

/** Step of a VM on its way to another pool or through a reboot. */
public enum MoveStep {
  /** The VM gets no new work, if every budget allows it. */
  LEAVE {
    @Override
    Result apply(Fleet fleet, Vm vm) {
      if (vm.phase() != VmPhase.IN_POOL || !vm.isChangePending()) {
        return stale(vm);
      }
      return Budgets.brokenBy(fleet, vm)
          .map(s -> Result.refused(ErrorCode.BUDGET, "service " + s.name() + " can't spare a VM"))
          .orElseGet(() -> advance(fleet, vm.inPhase(VmPhase.LEAVING)));
    }
  },
  /** All work on the VM is done; it is rebooted or changes its pool. */
  DRAINED {
    @Override
    Result apply(Fleet fleet, Vm vm) {
      if (vm.phase() != VmPhase.LEAVING) {
        return stale(vm);
      }
      boolean reboots = vm.rebootTicket() != 0;
      return advance(fleet, reboots ? vm.rebooting() : vm.arrived());
    }
  },
  /** The VM is back from its reboot. */
  RETURNED {
    @Override
    Result apply(Fleet fleet, Vm vm) {
      boolean back = vm.phase() == VmPhase.REBOOTING && vm.announcement() != null;
      return back ? advance(fleet, vm.arrived()) : stale(vm);
    }
  };

  /** Takes the step if the VM's state allows it. */
  abstract Result apply(Fleet fleet, Vm vm);

  private static Result advance(Fleet fleet, Vm vm) {
    fleet.put(vm);
    return Result.accepted("VM " + vm.name() + " is " + vm.phase() + " in " + vm.pool());
  }

  private static Result stale(Vm vm) {
    return Result.refused(ErrorCode.STALE, "VM " + vm.name() + " is " + vm.phase());
  }
}
