package org.plantainknot.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Plans membership changes, one voter at a time (Ongaro, section 4.1).
 *
 * <p>A responsive member that isn't a voter is added. If its node's previous disk was lost, the old
 * incarnation is removed first, so that a disk that is gone for good never counts towards the
 * quorum together with its replacement. While there are fewer voters than required, none is removed
 * as long as a member can be added, so that every entry is on enough disks for one copy to outlive
 * the tolerated losses. An unresponsive voter is removed only while there are more voters than
 * required.
 */
public final class VoterPlan {

  private static final int MIN_VOTERS = 3;

  private final int minVoters;

  /**
   * Creates a plan that keeps enough voters to tolerate the given number of losses.
   *
   * @param tolerableLosses number of simultaneously lost voters to tolerate
   */
  public VoterPlan(int tolerableLosses) {
    this.minVoters = Math.max(MIN_VOTERS, 2 * tolerableLosses + 1);
  }

  /**
   * Returns the useful changes, most useful first; at most one of them may be applied.
   *
   * @param membership membership in force
   * @param responsive members that replied recently, with the latest incarnation of each node
   * @param unresponsive whether a voter has not replied for a long time
   */
  public List<Membership> changes(
      Membership membership, Collection<MemberId> responsive, Predicate<MemberId> unresponsive) {
    List<Membership> changes = new ArrayList<>();
    List<MemberId> nonVoters =
        responsive.stream()
            .filter(member -> !membership.isVoter(member))
            .sorted(Comparator.comparing(MemberId::node))
            .toList();
    nonVoters.stream()
        .filter(member -> !hasVoterOnNode(membership, member))
        .forEach(member -> changes.add(membership.with(member)));
    int voters = membership.voters().size();
    if (voters >= minVoters || changes.isEmpty()) {
      nonVoters.stream()
          .filter(member -> hasVoterOnNode(membership, member))
          .forEach(member -> changes.add(membership.without(member.node())));
    }
    if (voters > minVoters) {
      membership.members().stream()
          .filter(unresponsive)
          .forEach(member -> changes.add(membership.without(member.node())));
    }
    return changes;
  }

  private static boolean hasVoterOnNode(Membership membership, MemberId member) {
    return membership.voters().containsKey(member.node());
  }
}
