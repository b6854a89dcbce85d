package org.plantainknot.core.replica;

/**
 * Message with its receiver.
 *
 * @param receiver member that the message is for
 * @param message the message
 */
public record Envelope(MemberId receiver, Message message) {}
