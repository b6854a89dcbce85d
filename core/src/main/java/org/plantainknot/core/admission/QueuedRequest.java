package org.plantainknot.core.admission;

import java.util.Set;
import java.util.TreeSet;

/**
 * A request that waits for a slot, or holds one.
 *
 * <p>Compared by identity. Guarded by the lock of the pool that it was admitted to.
 */
public final class QueuedRequest {

  private final String service;
  private final WorkKind kind;
  private final long deadlineMillis;
  private final Set<String> avoidedVms = new TreeSet<>();

  /** Creates a request. */
  public QueuedRequest(String service, WorkKind kind, long deadlineMillis) {
    this.service = service;
    this.kind = kind;
    this.deadlineMillis = deadlineMillis;
  }

  /** Returns the name of the requested service. */
  public String service() {
    return service;
  }

  /** Returns the kind of work, which sets the request's weight. */
  public WorkKind kind() {
    return kind;
  }

  /** Returns the time by which the caller needs the response. */
  public long deadlineMillis() {
    return deadlineMillis;
  }

  /** Excludes a VM that has failed this request from its retries. */
  public void avoid(String vm) {
    avoidedVms.add(vm);
  }

  /** Returns whether the VM is excluded from retries of this request. */
  public boolean avoids(String vm) {
    return avoidedVms.contains(vm);
  }
}
