package org.plantainknot.core.routing;

/** What a gateway knows of a target: its slots in use, and whether it can be trusted. */
final class TargetState {

  private static final int FAILURES_TO_EJECT = 5;
  private static final int SUCCESSES_TO_TRUST = 3;
  private static final long FIRST_EJECTION_MILLIS = 1_000;
  private static final long LONGEST_EJECTION_MILLIS = 30_000;

  private RoutableVm vm;
  private int inUse;
  private int failuresInRow;
  private int ejections;
  private long ejectedUntilMillis = Long.MIN_VALUE;
  private int successesOwed;

  TargetState(RoutableVm vm) {
    this.vm = vm;
  }

  RoutableVm vm() {
    return vm;
  }

  void update(RoutableVm latest) {
    vm = latest;
  }

  /** Ends new work, while requests in progress are finished. */
  void retire() {
    vm = new RoutableVm(vm.name(), vm.announcement(), 0);
  }

  int inUse() {
    return inUse;
  }

  boolean isRetired() {
    return vm.share() == 0;
  }

  boolean isSettled() {
    return inUse <= vm.share();
  }

  boolean hasFreeSlot(long nowMillis) {
    int usable = successesOwed > 0 ? Math.min(1, vm.share()) : vm.share();
    return !isEjected(nowMillis) && inUse < usable;
  }

  boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntilMillis;
  }

  double load() {
    return (double) inUse / vm.share();
  }

  void take() {
    inUse++;
  }

  void free() {
    inUse--;
  }

  /** Takes an outcome into account, and returns whether the target should be ejected. */
  boolean judge(TargetOutcome outcome) {
    if (outcome.isFailure()) {
      failuresInRow++;
      return failuresInRow >= FAILURES_TO_EJECT || successesOwed > 0;
    }
    if (outcome == TargetOutcome.ANSWERED) {
      failuresInRow = 0;
      successesOwed = Math.max(0, successesOwed - 1);
      ejections = successesOwed == 0 ? 0 : ejections;
    }
    return false;
  }

  /** Keeps the target without work for a time that doubles, and then on probation. */
  void eject(long nowMillis) {
    long millis =
        Math.min(FIRST_EJECTION_MILLIS << Math.min(ejections, 5), LONGEST_EJECTION_MILLIS);
    ejections++;
    ejectedUntilMillis = nowMillis + millis;
    successesOwed = SUCCESSES_TO_TRUST;
    failuresInRow = 0;
  }
}
