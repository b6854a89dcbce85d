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

  /** Returns the service that is asked. */
  public String service() {
    return service;
  }

  /** Returns the kind of work. */
  public WorkKind kind() {
    return kind;
  }

  /** Returns the time by which the caller needs the answer. */
  public long deadlineMillis() {
    return deadlineMillis;
  }

  /** Keeps a retry away from a VM that has failed this request. */
  public void avoid(String vm) {
    avoidedVms.add(vm);
  }

  /** Returns whether the request should not go to the VM again. */
  public boolean avoids(String vm) {
    return avoidedVms.contains(vm);
  }
}
