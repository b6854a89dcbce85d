package org.plantainknot.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses changes of the voters, one voter at a time (Ongaro, section 4.1).
 *
 * <p>A member that answers and doesn't vote joins; the lost disk of its own node leaves before, so
 * that no disk that is gone for good counts beside the one that takes its place. While voters are
 * missing, nothing leaves before somebody has joined: each entry is to be on so many disks that the
 * losses to bear leave one. A voter that is silent leaves where more are left than that takes.
 */
public final class VoterPlan {

  private static final int LEAST_VOTERS = 3;

  private final int leastVoters;

  /**
   * Creates the plan.
   *
   * @param lossesToBear number of voters whose loss at the same time must be borne
   */
  public VoterPlan(int lossesToBear) {
    this.leastVoters = Math.max(LEAST_VOTERS, 2 * lossesToBear + 1);
  }

  /**
   * Returns the changes that would help, the most useful first; at most one of them may be made.
   *
   * @param membership membership in force
   * @param present members that have answered lately, by their latest disks
   * @param silent whether a voter has not answered for long
   */
  public List<Membership> changes(
      Membership membership, Collection<MemberId> present, Predicate<MemberId> silent) {
    List<Membership> changes = new ArrayList<>();
    List<MemberId> outside =
        present.stream()
            .filter(member -> !membership.isVoter(member))
            .sorted(Comparator.comparing(MemberId::node))
            .toList();
    outside.stream()
        .filter(member -> !isNamed(membership, member))
        .forEach(member -> changes.add(membership.with(member)));
    int voters = membership.voters().size();
    if (voters >= leastVoters || changes.isEmpty()) {
      outside.stream()
          .filter(member -> isNamed(membership, member))
          .forEach(member -> changes.add(membership.without(member.node())));
    }
    if (voters > leastVoters) {
      membership.members().stream()
          .filter(silent)
          .forEach(member -> changes.add(membership.without(member.node())));
    }
    return changes;
  }

  private static boolean isNamed(Membership membership, MemberId member) {
    return membership.voters().containsKey(member.node());
  }
}
