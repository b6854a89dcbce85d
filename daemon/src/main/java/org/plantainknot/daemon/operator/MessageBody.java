package org.plantainknot.daemon.operator;

/**
 * Response body that reports the result of an operator's command.
 *
 * @param message result of the command, for people
 */
public record MessageBody(String message) {}
