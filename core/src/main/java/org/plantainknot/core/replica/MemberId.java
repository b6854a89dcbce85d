package org.plantainknot.core.replica;

import java.util.Objects;

/**
 * Identity of a member: the node's name and the incarnation of its disk.
 *
 * <p>A node whose disk was emptied or replaced comes back with a new incarnation and therefore as
 * another member, so that it never votes with a memory that it has lost.
 *
 * @param node name of the node, unique in the settings
 * @param incarnation random identifier that was written when the data folder was created
 */
public record MemberId(String node, String incarnation) {

  /** Checks that both parts are present. */
  public MemberId {
    Objects.requireNonNull(node, "node");
    Objects.requireNonNull(incarnation, "incarnation");
  }

  @Override
  public String toString() {
    return node + "/" + incarnation;
  }
}
