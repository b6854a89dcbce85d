package org.plantainknot.core.control;

import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.fleet.Budgets;
import org.plantainknot.core.fleet.Fleet;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.fleet.VmPhase;

/** Step of a VM that changes its pool or is rebooted. */
public enum MoveStep {
  /** Stops new work on the VM, provided that every availability budget allows it. */
  LEAVE {
    @Override
    Result apply(Fleet fleet, Vm vm) {
      if (vm.phase() != VmPhase.IN_POOL || !vm.isChangePending()) {
        return stale(vm);
      }
      return Budgets.findViolatedBudget(fleet, vm)
          .map(
              s ->
                  Result.refused(
                      ErrorCode.BUDGET,
                      "service " + s.name() + " would break its availability budget"))
          .orElseGet(() -> advance(fleet, vm.inPhase(VmPhase.LEAVING)));
    }
  },
  /** All work on the VM has finished; the VM is rebooted or changes its pool. */
  DRAINED {
    @Override
    Result apply(Fleet fleet, Vm vm) {
      if (vm.phase() != VmPhase.LEAVING) {
        return stale(vm);
      }
      boolean reboots = vm.rebootTicket() != 0;
      return advance(fleet, reboots ? vm.rebooting() : vm.withChangeDone());
    }
  },
  /** The VM has been rebooted and its target has announced itself. */
  RETURNED {
    @Override
    Result apply(Fleet fleet, Vm vm) {
      boolean returned = vm.phase() == VmPhase.REBOOTING && vm.announcement() != null;
      return returned ? advance(fleet, vm.withChangeDone()) : stale(vm);
    }
  };

  /** Applies the step if the state of the VM allows it, and refuses it otherwise. */
  abstract Result apply(Fleet fleet, Vm vm);

  private static Result advance(Fleet fleet, Vm vm) {
    fleet.put(vm);
    return Result.accepted("VM " + vm.name() + " is " + vm.phase() + " in " + vm.pool());
  }

  private static Result stale(Vm vm) {
    return Result.refused(ErrorCode.STALE, "VM " + vm.name() + " is " + vm.phase());
  }
}
