package org.plantainknot.core.claim;

/**
 * Answer of a target, kept for resends.
 *
 * @param status HTTP status
 * @param contentType content type, or null
 * @param body the whole body
 */
public record StoredAnswer(int status, String contentType, byte[] body) {}
