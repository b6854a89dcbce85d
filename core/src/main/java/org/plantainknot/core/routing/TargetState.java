package org.plantainknot.core.routing;

/** State of a target in a gateway: slots in use, recent failures, ejection and probation. */
final class TargetState {

  private static final int FAILURES_TO_EJECT = 5;
  private static final int PROBATION_SUCCESSES = 3;
  private static final long INITIAL_EJECTION_MILLIS = 1_000;
  private static final long MAX_EJECTION_MILLIS = 30_000;

  private RoutableVm vm;
  private int inUse;
  private int consecutiveFailures;
  private int consecutiveEjections;
  private long ejectedUntilMillis = Long.MIN_VALUE;
  private int probationSuccessesLeft;

  TargetState(RoutableVm vm) {
    this.vm = vm;
  }

  RoutableVm vm() {
    return vm;
  }

  void update(RoutableVm latest) {
    vm = latest;
  }

  /** Stops new requests to the target; requests in progress may finish. */
  void retire() {
    vm = new RoutableVm(vm.name(), vm.announcement(), 0);
  }

  int inUse() {
    return inUse;
  }

  boolean isRetired() {
    return vm.share() == 0;
  }

  boolean isWithinShare() {
    return inUse <= vm.share();
  }

  boolean hasFreeSlot(long nowMillis) {
    int usable = probationSuccessesLeft > 0 ? Math.min(1, vm.share()) : vm.share();
    return !isEjected(nowMillis) && inUse < usable;
  }

  boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntilMillis;
  }

  double load() {
    return (double) inUse / vm.share();
  }

  void acquireSlot() {
    inUse++;
  }

  void releaseSlot() {
    inUse--;
  }

  /** Records an outcome, and returns whether the target should be ejected. */
  boolean recordOutcome(TargetOutcome outcome) {
    if (outcome.isFailure()) {
      consecutiveFailures++;
      return consecutiveFailures >= FAILURES_TO_EJECT || probationSuccessesLeft > 0;
    }
    if (outcome == TargetOutcome.ANSWERED) {
      consecutiveFailures = 0;
      probationSuccessesLeft = Math.max(0, probationSuccessesLeft - 1);
      consecutiveEjections = probationSuccessesLeft == 0 ? 0 : consecutiveEjections;
    }
    return false;
  }

  /** Ejects the target for a time that doubles with each ejection, followed by a probation. */
  void eject(long nowMillis) {
    long durationMillis =
        Math.min(INITIAL_EJECTION_MILLIS << Math.min(consecutiveEjections, 5), MAX_EJECTION_MILLIS);
    consecutiveEjections++;
    ejectedUntilMillis = nowMillis + durationMillis;
    probationSuccessesLeft = PROBATION_SUCCESSES;
    consecutiveFailures = 0;
  }
}
