package org.plantainknot.core.fleet;

import java.util.List;

/**
 * A service and its agreed availability budget.
 *
 * @param name name that callers use
 * @param pool pool whose VMs serve it
 * @param minAvailableVms number of VMs that must stay available
 * @param spare failure domain that may be lost on top without breaking the budget
 * @param idempotentMethods HTTP methods whose requests may be run again
 * @param ticket number of the ticket that holds the service
 */
public record Service(
    String name,
    String pool,
    int minAvailableVms,
    FailureDomain spare,
    List<String> idempotentMethods,
    long ticket) {

  /** Methods that are idempotent by definition (RFC 9110, section 9.2.2). */
  public static final List<String> IDEMPOTENT_METHODS =
      List.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

  /** Copies the methods. */
  public Service {
    idempotentMethods = List.copyOf(idempotentMethods);
  }

  /** Returns whether a request by the method may be run again. */
  public boolean isIdempotent(String method) {
    return idempotentMethods.contains(method);
  }
}
