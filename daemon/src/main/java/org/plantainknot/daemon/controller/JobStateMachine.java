package org.plantainknot.daemon.controller;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.plantainknot.core.job.Applied;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.ReplicaStatus;
import org.plantainknot.core.schedule.MachineOrderTimes;
import org.plantainknot.core.schedule.WorkerDirectory;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.daemon.control.ReplicaDriver;
import org.plantainknot.daemon.control.StateCodec;
import org.plantainknot.daemon.control.SuspensionDetector;
import org.plantainknot.daemon.leader.LeaderView;
import org.plantainknot.daemon.metrics.DecisionMetrics;
import org.plantainknot.daemon.settings.ClusterSettings;
import org.plantainknot.wire.member.CommandProto;

/**
 * State machine of the replicated job state, which also runs the scheduler while this member leads.
 *
 * <p>A new leader creates its scheduler once the entries of earlier terms are applied. Used by the
 * control thread only.
 */
final class JobStateMachine implements ReplicaDriver.StateMachine {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Replica replica;
  private final JobLedger ledger;
  private final WorkerDirectory directory;
  private final ClusterSettings settings;
  private final RequestProcessor requestProcessor;
  private final ActionRunner runner;
  private final LeaderAnnouncer announcer;
  private final DecisionMetrics metrics;
  private final CommitTimes commitTimes;
  private final MachineOrderTimes orderTimes = new MachineOrderTimes();
  private final SuspensionDetector suspensionDetector = new SuspensionDetector();
  private JobScheduler scheduler;
  private long appliedIndex;
  private long electedTerm;
  private long termStartIndex;
  private boolean transferringLeadership;

  /** Creates the state machine. */
  JobStateMachine(
      Replica replica,
      JobLedger ledger,
      WorkerDirectory directory,
      ClusterSettings settings,
      RequestProcessor requestProcessor,
      ActionRunner runner,
      LeaderAnnouncer announcer,
      DecisionMetrics metrics) {
    this.replica = replica;
    this.ledger = ledger;
    this.directory = directory;
    this.settings = settings;
    this.requestProcessor = requestProcessor;
    this.runner = runner;
    this.announcer = announcer;
    this.metrics = metrics;
    this.commitTimes = new CommitTimes(metrics);
  }

  static byte[] encode(JobCommand command) {
    return CommandProto.newBuilder()
        .setStampMillis(Clock.wallMillis())
        .setBody(ByteString.copyFrom(StateCodec.write(command)))
        .build()
        .toByteArray();
  }

  private static CommandProto decode(byte[] bytes) {
    try {
      return CommandProto.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("cannot decode a committed log entry", e);
    }
  }

  /** Returns whether this member serves as leader and accepts requests. */
  boolean acceptsRequests() {
    return scheduler != null && !transferringLeadership;
  }

  /** Returns whether this member leads and has applied the entries of earlier terms. */
  boolean isServing() {
    return scheduler != null;
  }

  /** Stops accepting requests and planning assignments, before a leadership transfer. */
  void prepareLeadershipTransfer() {
    transferringLeadership = true;
  }

  /** Records that this member proposed a command at a log index. */
  void proposed(long index, JobCommand command, int sizeBytes) {
    commitTimes.proposed(index, command, sizeBytes, Clock.nowMillis());
  }

  long appliedIndex() {
    return appliedIndex;
  }

  @Override
  public void restore(byte[] data) {
    restore(data, replica.status().commitIndex());
  }

  /**
   * Replaces the job state with that of a snapshot.
   *
   * @param data encoded snapshot
   * @param lastIndex index of the last log entry that the snapshot covers
   */
  void restore(byte[] data, long lastIndex) {
    ledger.restore(StateCodec.read(data, JobLedger.Image.class));
    orderTimes.restored(ledger, Clock.wallMillis(), Clock.nowMillis());
    appliedIndex = lastIndex;
  }

  @Override
  public void apply(Entry entry) {
    appliedIndex = entry.index();
    if (!entry.hasCommand()) {
      return;
    }
    CommandProto proto = decode(entry.command());
    JobCommand command = StateCodec.read(proto.getBody().toByteArray(), JobCommand.class);
    Applied result = ledger.apply(proto.getStampMillis(), command);
    orderTimes.applied(command, proto.getStampMillis(), Clock.wallMillis(), Clock.nowMillis());
    if (scheduler != null) {
      commitTimes.applied(entry.index(), Clock.nowMillis());
      DecisionLog.applied(command, entry.index());
      metrics.countDecision(command, ledger);
      scheduler.applied(command);
      requestProcessor.applied(entry.index(), result);
    }
  }

  @Override
  public void onDrained() {
    updateRole();
    if (scheduler != null) {
      requestProcessor.onRoundConfirmed(replica.confirmedRound());
      runActionsIfLeading();
    }
  }

  /**
   * Runs due actions only while a majority has recently confirmed this leader. Otherwise another
   * member may lead already, and the next tick either runs the actions or steps down.
   */
  private void runActionsIfLeading() {
    long nowMillis = Clock.nowMillis();
    if (suspensionDetector.observe(nowMillis, Clock.wallMillis())) {
      logger.atWarning().log("suspension-suspected term=%d", electedTerm);
      replica.suspectContact(nowMillis);
    }
    if (replica.hasConfirmedLeadership(nowMillis)) {
      runner.run(scheduler.tick(!transferringLeadership), scheduler);
    }
  }

  private void updateRole() {
    ReplicaStatus status = replica.status();
    if (!status.isLeader()) {
      if (electedTerm > 0) {
        logger.atInfo().log("office-lost term=%d now=%d", electedTerm, status.term());
      }
      resetTerm(0);
    } else if (electedTerm != status.term()) {
      logger.atInfo().log("elected node=%s term=%d", status.self().node(), status.term());
      metrics.countElection();
      resetTerm(status.term());
      termStartIndex = status.lastIndex();
    }
    if (electedTerm > 0 && scheduler == null && appliedIndex >= termStartIndex) {
      scheduler = new JobScheduler(ledger, directory, settings.timing(), orderTimes, electedTerm);
      logger.atInfo().log("office-taken term=%d index=%d", electedTerm, appliedIndex);
    }
    announcer.announce(leaderView(status), Clock.nowMillis());
  }

  private void resetTerm(long nextTerm) {
    electedTerm = nextTerm;
    scheduler = null;
    requestProcessor.clear();
    commitTimes.clear();
  }

  private LeaderView leaderView(ReplicaStatus status) {
    return scheduler == null
        ? new LeaderView("", status.term(), "")
        : new LeaderView(status.self().node(), electedTerm, settings.controlAddress().orElse(""));
  }
}
