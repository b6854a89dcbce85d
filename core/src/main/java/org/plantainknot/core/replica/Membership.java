package org.plantainknot.core.replica;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * Set of voters that a log entry puts in force.
 *
 * @param clusterId random identifier chosen when the cluster was formed
 * @param voters disk incarnation of each voter, by node name
 */
public record Membership(String clusterId, SortedMap<String, String> voters) {

  /** Copies the voters. */
  public Membership {
    voters = Collections.unmodifiableSortedMap(new TreeMap<>(voters));
  }

  /** Returns whether the member votes in this membership, with this very incarnation. */
  public boolean isVoter(MemberId member) {
    return member.incarnation().equals(voters.get(member.node()));
  }

  /** Returns the voters, by name. */
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

  /** Returns the highest value that a majority of the voters has reached. */
  public long quorumValue(ToLongFunction<MemberId> valueOf) {
    long[] ascending = members().stream().mapToLong(valueOf).sorted().toArray();
    return ascending.length == 0 ? 0 : ascending[ascending.length - quorum()];
  }

  /** Returns this membership without the node. */
  public Membership without(String node) {
    SortedMap<String, String> remaining = new TreeMap<>(voters);
    remaining.remove(node);
    return new Membership(clusterId, remaining);
  }

  /** Returns this membership with the member as a voter. */
  public Membership with(MemberId member) {
    SortedMap<String, String> extended = new TreeMap<>(voters);
    extended.put(member.node(), member.incarnation());
    return new Membership(clusterId, extended);
  }

  /** Returns whether the other membership differs by at most one voter added or removed. */
  public boolean isOneStepFrom(Membership other) {
    SortedMap<String, String> removed = new TreeMap<>(other.voters);
    removed.entrySet().removeAll(voters.entrySet());
    SortedMap<String, String> added = new TreeMap<>(voters);
    added.entrySet().removeAll(other.voters.entrySet());
    return removed.size() + added.size() <= 1;
  }
}
