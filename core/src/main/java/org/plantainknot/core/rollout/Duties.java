package org.plantainknot.core.rollout;

import java.util.List;
import org.plantainknot.core.control.Command;

/**
 * Actions that the leader has to take now.
 *
 * @param commands commands to append to the log
 * @param waiting descriptions of what the rollout waits for, for status reports
 */
public record Duties(List<Command> commands, List<String> waiting) {

  /** Copies the lists. */
  public Duties {
    commands = List.copyOf(commands);
    waiting = List.copyOf(waiting);
  }
}
