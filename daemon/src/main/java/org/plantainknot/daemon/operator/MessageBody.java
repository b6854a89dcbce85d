package org.plantainknot.daemon.operator;

/**
 * Response body that reports the result of an operator's command.
 *
 * @param message human-readable result of the command
 */
public record MessageBody(String message) {}
