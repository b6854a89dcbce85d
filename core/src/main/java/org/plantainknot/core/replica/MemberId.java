package org.plantainknot.core.replica;

import java.util.Objects;

/**
 * Identity of a member: name of the node and incarnation of its disk.
 *
 * <p>A node whose disk was wiped or replaced rejoins with a new incarnation, and thus as a
 * different member. Otherwise it could vote twice in a term, or count as holding entries that it
 * has lost.
 *
 * @param node name of the node, unique in the settings
 * @param incarnation random identifier generated when the data folder was created
 */
public record MemberId(String node, String incarnation) {

  /** Checks that both components are set. */
  public MemberId {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(incarnation, "incarnation");
  }

  @Override
  public String toString() {
    return node + "/" + incarnation;
  }
}
