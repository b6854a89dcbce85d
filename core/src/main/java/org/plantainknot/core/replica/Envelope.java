package org.plantainknot.core.replica;

/**
 * Message addressed to a member.
 *
 * @param receiver member that the message is addressed to
 * @param message the message
 */
public record Envelope(MemberId receiver, Message message) {}
