package org.plantainknot.core.claim;

/**
 * Name of a request, unique over all gateways.
 *
 * @param caller name of the caller
 * @param requestId the caller's idempotency key
 */
public record ClaimKey(String caller, String requestId) {}
