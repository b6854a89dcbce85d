package org.plantainknot.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.lease.LeaseRequest;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.ReplicaStatus;
import org.plantainknot.core.rollout.Duties;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.wire.member.FrameProto;
import org.plantainknot.wire.member.LeaseReplyProto;
import org.plantainknot.wire.member.LeaseRequestProto;

/**
 * Work of this member while it is the leader: granting leases and performing rollout duties.
 *
 * <p>Used by the control thread only.
 */
final class Leader {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long IDLE_DUTIES_INTERVAL_MILLIS = 20;

  private final DaemonSettings settings;
  private final Replica replica;
  private final ControlState state;
  private final CommandQueue commands;
  private final Predicate<String> isRebooted;
  private final BiConsumer<String, FrameProto> sender;
  private final Runnable flush;
  private LeaderTerm leaderTerm;
  private long lastDutiesMillis;
  private long electedTerm;
  private long termStartIndex;

  Leader(
      DaemonSettings settings,
      Replica replica,
      ControlState state,
      CommandQueue commands,
      Predicate<String> isRebooted,
      BiConsumer<String, FrameProto> sender,
      Runnable flush) {
    this.settings = settings;
    this.replica = replica;
    this.state = state;
    this.commands = commands;
    this.isRebooted = isRebooted;
    this.sender = sender;
    this.flush = flush;
  }

  /** Returns whether this member leads and has applied the first entry of its term. */
  boolean isServing() {
    return leaderTerm != null;
  }

  /** Returns the conditions that the rollout is waiting for. */
  List<String> waiting() {
    return leaderTerm == null ? List.of() : leaderTerm.waiting();
  }

  /** Starts a heartbeat round if lease requests are waiting for one. */
  void startRound(long nowMillis) {
    if (leaderTerm != null && leaderTerm.needsRound()) {
      leaderTerm.onRoundStarted(replica.startRound(nowMillis));
    }
  }

  /** Follows the replica's role: enters or leaves the leader's term. */
  void updateRole() {
    ReplicaStatus status = replica.status();
    if (!status.isLeader()) {
      leaderTerm = null;
      electedTerm = 0;
      return;
    }
    if (electedTerm != status.term()) {
      electedTerm = status.term();
      termStartIndex = status.lastIndex();
      leaderTerm = null;
      logger.atInfo().log("elected node=%s term=%d", status.self().node(), status.term());
    }
    if (leaderTerm == null && state.appliedIndex() >= termStartIndex) {
      leaderTerm = new LeaderTerm(settings, state, isRebooted, Clock.nowMillis());
    }
  }

  void onLeaseRequest(String node, LeaseRequestProto request) {
    if (leaderTerm != null) {
      leaderTerm.addRequest(node, request, Clock.nowMillis());
      flush.run();
    }
  }

  void answerLeaseRequests() {
    if (leaderTerm == null) {
      return;
    }
    long commitIndex = replica.status().commitIndex();
    List<LeaseRequest> granted =
        leaderTerm.granted(replica.confirmedRound(), commitIndex, Clock.nowMillis());
    for (LeaseRequest request : granted) {
      LeaseReplyProto reply =
          LeaseReplyProto.newBuilder()
              .setSequence(request.sequence())
              .setLeaseMillis(settings.leaseTiming().leaseMillis())
              .setCommitIndex(commitIndex)
              .build();
      sender.accept(request.node(), FrameProto.newBuilder().setLeaseReply(reply).build());
    }
    if (!granted.isEmpty()) {
      performDuties(Clock.nowMillis());
    }
  }

  void performDuties(long nowMillis) {
    boolean isDue =
        nowMillis - lastDutiesMillis >= IDLE_DUTIES_INTERVAL_MILLIS || !waiting().isEmpty();
    if (leaderTerm == null || !isDue) {
      return;
    }
    lastDutiesMillis = nowMillis;
    LeaderTerm current = leaderTerm;
    Duties duties = current.duties(nowMillis, Clock.wallMillis());
    for (Command command : duties.commands()) {
      CompletableFuture<Result> done = new CompletableFuture<>();
      done.whenComplete((result, error) -> current.onDutyCompleted());
      String commandId = UUID.randomUUID().toString();
      commands.add(commandId, command, done, nowMillis + settings.leaseTiming().leaseMillis());
      logger.atInfo().log("duty %s", command);
    }
    if (!duties.commands().isEmpty()) {
      flush.run();
    }
  }
}
