package org.plantainknot.core.replica;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * Voters of the cluster, as set by a log entry.
 *
 * @param clusterId random identifier generated when the cluster was formed
 * @param voters disk incarnation of each voter, by node name
 */
public record Membership(String clusterId, SortedMap<String, String> voters) {

  /** Copies the voters. */
  public Membership {
    voters = Collections.unmodifiableSortedMap(new TreeMap<>(voters));
  }

  /** Returns whether the member, with its current incarnation, is a voter. */
  public boolean isVoter(MemberId member) {
    return member.incarnation().equals(voters.get(member.node()));
  }

  /** Returns the voters, ordered by node name. */
  public List<MemberId> members() {
    return voters.entrySet().stream().map(v -> new MemberId(v.getKey(), v.getValue())).toList();
  }

  /** Returns the number of voters that form a majority. */
  public int quorum() {
    return voters.size() / 2 + 1;
  }

  /** Returns whether the members include a majority of the voters. */
  public boolean hasQuorum(Collection<MemberId> members) {
    return members.stream().filter(this::isVoter).count() >= quorum();
  }

  /** Returns the highest value that a majority of the voters has reached, or 0 without voters. */
  public long quorumValue(ToLongFunction<MemberId> valueOf) {
    long[] ascending = members().stream().mapToLong(valueOf).sorted().toArray();
    return ascending.length == 0 ? 0 : ascending[ascending.length - quorum()];
  }

  /** Returns this membership without the node's voter. */
  public Membership without(String node) {
    SortedMap<String, String> remaining = new TreeMap<>(voters);
    remaining.remove(node);
    return new Membership(clusterId, remaining);
  }

  /** Returns this membership with the member as the voter of its node. */
  public Membership with(MemberId member) {
    SortedMap<String, String> extended = new TreeMap<>(voters);
    extended.put(member.node(), member.incarnation());
    return new Membership(clusterId, extended);
  }

  /** Returns whether the memberships differ by at most one added or removed voter. */
  public boolean isOneStepFrom(Membership other) {
    SortedMap<String, String> removed = new TreeMap<>(other.voters);
    removed.entrySet().removeAll(voters.entrySet());
    SortedMap<String, String> added = new TreeMap<>(voters);
    added.entrySet().removeAll(other.voters.entrySet());
    return removed.size() + added.size() <= 1;
  }
}
