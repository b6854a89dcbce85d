package org.plantainknot.core.fleet;

import java.util.List;

/**
 * A service and its availability budget.
 *
 * @param name name that callers use
 * @param pool pool whose VMs serve it
 * @param minAvailableVms number of VMs that must stay available
 * @param spare failure domain whose loss, in addition, must not violate the budget
 * @param idempotentMethods HTTP methods whose requests may be retried
 * @param ticket number of the latest started ticket that defines the service
 */
public record Service(
    String name,
    String pool,
    int minAvailableVms,
    FailureDomain spare,
    List<String> idempotentMethods,
    long ticket) {

  /** Methods that HTTP defines as idempotent (RFC 9110, section 9.2.2). */
  public static final List<String> IDEMPOTENT_METHODS =
      List.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

  /** Makes a defensive copy of the methods. */
  public Service {
    idempotentMethods = List.copyOf(idempotentMethods);
  }

  /** Returns whether a request with the method may be retried. */
  public boolean isIdempotent(String method) {
    return idempotentMethods.contains(method);
  }
}
