package org.plantainknot.daemon.settings;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Role of a process in a cluster with separate gateways and controllers. */
public enum ProcessRole {
  /** Accepts callers' requests and forwards them to the leader. */
  GATEWAY,
  /** Holds a replica of the log; one controller at a time leads. */
  CONTROLLER;

  /** Returns the role with the lower-case name, or empty if there is none. */
  public static Optional<ProcessRole> of(String name) {
    return Arrays.stream(values())
        .filter(role -> role.name().toLowerCase(Locale.ROOT).equals(name))
        .findFirst();
  }
}
