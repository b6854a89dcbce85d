package org.plantainknot.core.claim;

/**
 * Key of a request, unique across all gateways.
 *
 * @param caller name of the caller
 * @param requestId the caller's idempotency key
 */
public record ClaimKey(String caller, String requestId) {}
