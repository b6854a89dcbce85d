package org.plantainknot.daemon.leader;

/**
 * The leader that a process knows of.
 *
 * @param node name of the leader's node, or an empty string if no leader is known
 * @param term term of the leader
 * @param controlAddress address of the leader's listener for workers and operators
 */
public record LeaderView(String node, long term, String controlAddress) {

  /** No known leader, and no known term. */
  public static final LeaderView NONE = new LeaderView("", 0, "");

  /** Returns whether a leader is known. */
  public boolean isKnown() {
    return !node.isEmpty();
  }
}
