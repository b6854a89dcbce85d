package org.plantainknot.core.claim;

/**
 * Answer of a target, stored to answer resends of the request.
 *
 * @param status HTTP status
 * @param contentType value of the Content-Type header, or null
 * @param body complete response body
 */
public record StoredAnswer(int status, String contentType, byte[] body) {}
