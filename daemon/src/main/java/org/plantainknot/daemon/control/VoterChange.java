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
 * Forms the cluster and replaces voters, one step at a time.
 *
 * <p>The old disk of a node leaves the membership before the new one joins. So at no time does a
 * member that is gone for good count towards a majority beside the one that takes its place. Used
 * by the control thread only.
 */
public final class VoterChange {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time within which a member that may join has answered. */
  private static final long ANSWERING_MILLIS = 1_000;

  /** Silence after which a voter that the others can spare leaves. */
  private static final long SILENT_MILLIS = 3_000;

  private final Replica replica;
  private final Map<String, MemberId> peers = new HashMap<>();
  private MemberId joining;

  /** Creates the changes of a replica's membership. */
  public VoterChange(Replica replica) {
    this.replica = replica;
  }

  /** Notes a member that can be reached. */
  public void seen(MemberId peer) {
    peers.put(peer.node(), peer);
  }

  /** Returns a membership of the named nodes with their present disks, for a new cluster. */
  public Membership plan(MemberId self, List<String> nodes) {
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
    findings.throwIfAny("the cluster can't be formed");
    return new Membership(clusterIdOf(voters), voters);
  }

  /** The same disks always form the same cluster, so that forming may be repeated after a crash. */
  private static String clusterIdOf(SortedMap<String, String> voters) {
    return UUID.nameUUIDFromBytes(voters.toString().getBytes(StandardCharsets.UTF_8)).toString();
  }

  /** Forms the cluster that another member has planned, if the own disk is empty. */
  public void form(FormProto form) {
    ReplicaStatus status = replica.status();
    Membership membership = StorageCodec.fromProto(form.getMembership());
    if (status.lastIndex() == 0 && status.term() == 0 && membership.isVoter(status.self())) {
      replica.form(membership);
    }
  }

  String replace(String node) {
    ReplicaStatus status = replica.status();
    if (!status.isLeader()) {
      String leader = status.leader() == null ? "unknown" : status.leader().node();
      throw new PlantainknotException(
          ErrorCode.UNAVAILABLE, "only the leader replaces voters; it is " + leader);
    }
    MemberId present = peers.get(node);
    if (present == null) {
      throw new PlantainknotException(ErrorCode.NOT_FOUND, "node " + node + " is not linked");
    }
    if (status.membership().isVoter(present)) {
      return "node " + node + " votes with its present disk";
    }
    joining = present;
    return "node " + node + " joins once it holds everything that is committed";
  }

  /** Makes the next change of a plan, if this member leads and one is due. */
  public void follow(VoterPlan plan, long nowMillis) {
    ReplicaStatus status = replica.status();
    if (status.membership() == null || !status.isLeader()) {
      return;
    }
    List<MemberId> present =
        peers.values().stream()
            .filter(peer -> silenceMillis(peer, nowMillis) <= ANSWERING_MILLIS)
            .toList();
    Predicate<MemberId> silent =
        voter -> !voter.equals(status.self()) && silenceMillis(voter, nowMillis) > SILENT_MILLIS;
    for (Membership changed : plan.changes(status.membership(), present, silent)) {
      Optional<Long> index = replica.changeMembership(changed);
      if (index.isPresent()) {
        logger.atInfo().log("voters-changing to=%s index=%d", changed.voters(), index.get());
        return;
      }
    }
  }

  private long silenceMillis(MemberId member, long nowMillis) {
    return nowMillis - replica.heardAtMillis(member);
  }

  /** Takes the change under way a step further. */
  public void advance() {
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
