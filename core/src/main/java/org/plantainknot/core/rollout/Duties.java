package org.plantainknot.core.rollout;

import java.util.List;
import org.plantainknot.core.control.Command;

/**
 * What the leader has to do now.
 *
 * @param commands commands to put into the log
 * @param waiting what the rollout waits for, for reports
 */
public record Duties(List<Command> commands, List<String> waiting) {

  /** Copies the lists. */
  public Duties {
    commands = List.copyOf(commands);
    waiting = List.copyOf(waiting);
  }
}
