package org.plantainknot.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Predicate;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.Findings;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Membership;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.ReplicaStatus;
import org.plantainknot.core.replica.VoterPlan;
import org.plantainknot.daemon.storage.StorageCodec;
import org.plantainknot.wire.member.FormProto;

/**
 * Forms the cluster and adds, removes and replaces voters, one membership change at a time.
 *
 * <p>The old disk of a node is removed from the membership before the new one is added, so that a
 * permanently lost member never counts towards a majority together with its replacement. Used by
 * the control thread only.
 */
public final class VoterChange {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time within which a member must have answered the leader to be added. */
  private static final long RESPONSIVE_MILLIS = 1_000;

  /** Time without an answer after which a redundant voter is removed. */
  private static final long UNRESPONSIVE_MILLIS = 3_000;

  private final Replica replica;
  private final Map<String, MemberId> peers = new HashMap<>();
  private MemberId joining;

  /** Creates an object that changes the membership of a replica. */
  public VoterChange(Replica replica) {
    this.replica = replica;
  }

  /** Records a member that has been linked; it replaces an earlier member of the same node. */
  public void addPeer(MemberId peer) {
    peers.put(peer.node(), peer);
  }

  /** Returns the membership of a new cluster: the named nodes with their current disks. */
  public Membership planMembership(MemberId self, List<String> nodes) {
    Findings findings = new Findings();
    SortedMap<String, String> voters = new TreeMap<>();
    for (String node : nodes) {
      MemberId member = node.equals(self.node()) ? self : peers.get(node);
      if (member == null) {
        findings.add("voters", "node " + node + " is not linked");
      } else {
        voters.put(node, member.incarnation());
      }
    }
    findings.require(voters.containsKey(self.node()), "voters", "must include " + self.node());
    findings.require(replica.status().lastIndex() == 0, "disk", "is not empty");
    findings.throwIfAny("cannot form the cluster");
    return new Membership(clusterIdOf(voters), voters);
  }

  /** Derives the identifier from the disks, so that forming can be repeated after a crash. */
  private static String clusterIdOf(SortedMap<String, String> voters) {
    return UUID.nameUUIDFromBytes(voters.toString().getBytes(StandardCharsets.UTF_8)).toString();
  }

  /** Forms the cluster that another member has planned, if this member's disk is empty. */
  public void form(FormProto form) {
    ReplicaStatus status = replica.status();
    Membership membership = StorageCodec.fromProto(form.getMembership());
    if (status.lastIndex() == 0 && status.term() == 0 && membership.isVoter(status.self())) {
      replica.form(membership);
    }
  }

  /** Starts to replace a node's lost disk with its current one, and returns a status message. */
  String replace(String node) {
    ReplicaStatus status = replica.status();
    if (!status.isLeader()) {
      String leader = status.leader() == null ? "unknown" : status.leader().node();
      throw new PlantainknotException(
          ErrorCode.UNAVAILABLE, "only the leader replaces voters; it is " + leader);
    }
    MemberId current = peers.get(node);
    if (current == null) {
      throw new PlantainknotException(ErrorCode.NOT_FOUND, "node " + node + " is not linked");
    }
    if (status.membership().isVoter(current)) {
      return "node " + node + " already votes with its current disk";
    }
    joining = current;
    return "node " + node + " joins once it holds everything that is committed";
  }

  /** Makes the first possible change of the plan, if this member is the leader. */
  public void applyPlan(VoterPlan plan, long nowMillis) {
    ReplicaStatus status = replica.status();
    if (status.membership() == null || !status.isLeader()) {
      return;
    }
    List<MemberId> responsive =
        peers.values().stream()
            .filter(peer -> millisSinceReply(peer, nowMillis) <= RESPONSIVE_MILLIS)
            .toList();
    Predicate<MemberId> unresponsive =
        voter ->
            !voter.equals(status.self())
                && millisSinceReply(voter, nowMillis) > UNRESPONSIVE_MILLIS;
    for (Membership changed : plan.changes(status.membership(), responsive, unresponsive)) {
      Optional<Long> index = replica.changeMembership(changed);
      if (index.isPresent()) {
        logger.atInfo().log("voters-changing to=%s index=%d", changed.voters(), index.get());
        return;
      }
    }
  }

  private long millisSinceReply(MemberId member, long nowMillis) {
    return nowMillis - replica.lastReplyAtMillis(member);
  }

  /** Takes the next step of the replacement in progress, if this member is the leader. */
  public void advanceReplacement() {
    ReplicaStatus status = replica.status();
    if (joining == null || !status.isLeader()) {
      joining = null;
      return;
    }
    Membership membership = status.membership();
    if (membership.isVoter(joining)) {
      logger.atInfo().log("voter-joined member=%s", joining);
      joining = null;
    } else if (membership.voters().containsKey(joining.node())) {
      replica.changeMembership(membership.without(joining.node()));
    } else {
      replica.changeMembership(membership.with(joining));
    }
  }
}
