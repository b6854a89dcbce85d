package org.plantainknot.daemon.control;

import java.util.List;
import java.util.function.BiPredicate;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.ReplicaStatus;
import org.plantainknot.wire.member.CommandProto;
import org.plantainknot.wire.member.FrameProto;
import org.plantainknot.wire.member.NotLeaderProto;
import org.plantainknot.wire.member.ProposeProto;

/**
 * Brings commands to the leader: proposes them to the log if this member leads, and forwards them
 * otherwise.
 *
 * <p>Used by the control thread only.
 */
final class CommandForwarder {

  private final Replica replica;
  private final CommandQueue commands;
  private final BiPredicate<String, FrameProto> sender;
  private boolean transferringLeadership;

  /**
   * Creates a forwarder.
   *
   * @param commands commands that were submitted on this member
   * @param sender sends a frame to the named node; returns false if it was dropped
   */
  CommandForwarder(Replica replica, CommandQueue commands, BiPredicate<String, FrameProto> sender) {
    this.replica = replica;
    this.commands = commands;
    this.sender = sender;
  }

  /** Makes this member, if it leads, accept no further commands, so that they are sent again. */
  void stopAccepting() {
    transferringLeadership = true;
  }

  /** Brings the commands of this member that are due to the leader, if it is known. */
  void sendUnsent(long nowMillis) {
    ReplicaStatus status = replica.status();
    if (status.leader() == null || (transferringLeadership && status.isLeader())) {
      return;
    }
    String leader = status.leader().node();
    List<CommandProto> unsent = commands.takeUnsent(leader, nowMillis);
    if (status.isLeader()) {
      unsent.forEach(this::propose);
    } else if (!unsent.isEmpty()) {
      ProposeProto proposal = ProposeProto.newBuilder().addAllCommands(unsent).build();
      if (!sender.test(leader, FrameProto.newBuilder().setPropose(proposal).build())) {
        unsent.forEach(command -> commands.rejected(command.getCommandId()));
      }
    }
  }

  /**
   * Proposes the commands that another member forwarded, or tells it that they were not accepted.
   *
   * @return whether the commands were proposed
   */
  boolean onPropose(String node, List<CommandProto> forwarded) {
    if (replica.status().isLeader() && !transferringLeadership) {
      forwarded.forEach(this::propose);
      return true;
    }
    NotLeaderProto.Builder rejection = NotLeaderProto.newBuilder();
    forwarded.forEach(command -> rejection.addCommandIds(command.getCommandId()));
    sender.test(node, FrameProto.newBuilder().setNotLeader(rejection).build());
    return false;
  }

  private void propose(CommandProto command) {
    CommandProto stamped = command.toBuilder().setStampMillis(Clock.wallMillis()).build();
    replica.propose(stamped.toByteArray());
  }
}
