package org.plantainknot.daemon.operator;

/**
 * Answer to an operator's command.
 *
 * @param message what holds now
 */
public record MessageBody(String message) {}
