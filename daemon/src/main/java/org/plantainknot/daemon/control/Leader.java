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

/** What this member does while it leads: leases and duties. Used by the control thread only. */
final class Leader {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long IDLE_DUTIES_MILLIS = 20;

  private final DaemonSettings settings;
  private final Replica replica;
  private final ControlState state;
  private final CommandQueue commands;
  private final Predicate<String> isRebooted;
  private final BiConsumer<String, FrameProto> sender;
  private final Runnable flush;
  private Office office;
  private long dutiesAtMillis;
  private long officeTerm;
  private long officeIndex;

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

  boolean isInOffice() {
    return office != null;
  }

  List<String> waiting() {
    return office == null ? List.of() : office.waiting();
  }

  /** Starts a heartbeat round if lease requests wait for one. */
  void startRound(long nowMillis) {
    if (office != null && office.needsRound()) {
      office.roundStarted(replica.startRound(nowMillis));
    }
  }

  void followRole() {
    ReplicaStatus status = replica.status();
    if (!status.isLeader()) {
      office = null;
      officeTerm = 0;
      return;
    }
    if (officeTerm != status.term()) {
      officeTerm = status.term();
      officeIndex = status.lastIndex();
      office = null;
      logger.atInfo().log("elected node=%s term=%d", status.self().node(), status.term());
    }
    if (office == null && state.appliedIndex() >= officeIndex) {
      office = new Office(settings, state, isRebooted, Clock.nowMillis());
    }
  }

  void request(String node, LeaseRequestProto request) {
    if (office != null) {
      office.request(node, request, Clock.nowMillis());
      flush.run();
    }
  }

  void answerLeases() {
    if (office == null) {
      return;
    }
    long commitIndex = replica.status().commitIndex();
    List<LeaseRequest> granted =
        office.granted(replica.confirmedRound(), commitIndex, Clock.nowMillis());
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
    boolean due = nowMillis - dutiesAtMillis >= IDLE_DUTIES_MILLIS || !waiting().isEmpty();
    if (office == null || !due) {
      return;
    }
    dutiesAtMillis = nowMillis;
    Office current = office;
    Duties duties = current.duties(nowMillis, Clock.wallMillis());
    for (Command command : duties.commands()) {
      CompletableFuture<Result> done = new CompletableFuture<>();
      done.whenComplete((result, error) -> current.dutyDone());
      String commandId = UUID.randomUUID().toString();
      commands.add(commandId, command, done, nowMillis + settings.leaseTiming().leaseMillis());
      logger.atInfo().log("duty %s", command);
    }
    if (!duties.commands().isEmpty()) {
      flush.run();
    }
  }
}
