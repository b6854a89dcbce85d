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
import org.plantainknot.daemon.leader.LeaderView;
import org.plantainknot.daemon.metrics.DecisionMetrics;
import org.plantainknot.daemon.settings.ClusterSettings;
import org.plantainknot.wire.member.CommandProto;

/**
 * The record of jobs as the state that the log builds up, and the leader's office on top of it.
 *
 * <p>The office is taken once the entries of earlier terms are applied. Used by the control thread
 * only.
 */
final class LedgerMachine implements ReplicaDriver.StateMachine {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Replica replica;
  private final JobLedger ledger;
  private final WorkerDirectory directory;
  private final ClusterSettings settings;
  private final LeaderDesk desk;
  private final ActionRunner runner;
  private final LeaderAnnouncer announcer;
  private final DecisionMetrics metrics;
  private final MachineOrderTimes orderTimes = new MachineOrderTimes();
  private JobOffice office;
  private long appliedIndex;
  private long officeTerm;
  private long officeIndex;
  private boolean resigning;

  /** Creates the machine with an empty record. */
  LedgerMachine(
      Replica replica,
      JobLedger ledger,
      WorkerDirectory directory,
      ClusterSettings settings,
      LeaderDesk desk,
      ActionRunner runner,
      LeaderAnnouncer announcer,
      DecisionMetrics metrics) {
    this.replica = replica;
    this.ledger = ledger;
    this.directory = directory;
    this.settings = settings;
    this.desk = desk;
    this.runner = runner;
    this.announcer = announcer;
    this.metrics = metrics;
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
      throw new IllegalStateException("committed entry can't be read", e);
    }
  }

  /** Returns whether this member leads, and takes requests. */
  boolean takesRequests() {
    return office != null && !resigning;
  }

  boolean isInOffice() {
    return office != null;
  }

  /** Takes no more requests and plans nothing new. */
  void resign() {
    resigning = true;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  @Override
  public void restore(byte[] data) {
    restore(data, replica.status().commitIndex());
  }

  /** Replaces the record by that of a snapshot. */
  void restore(byte[] data, long lastIndex) {
    ledger.restore(StateCodec.read(data, JobLedger.Image.class));
    orderTimes.restored(ledger.clockMillis(), Clock.wallMillis(), Clock.nowMillis());
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
    if (office != null) {
      DecisionLog.applied(command, entry.index());
      metrics.applied(command, ledger);
      office.applied(command);
      desk.applied(entry.index(), result);
    }
  }

  @Override
  public void settled() {
    followRole();
    if (office != null) {
      desk.confirmed(replica.confirmedRound());
      actIfLeading();
    }
  }

  /** Orders wait while the office may be another's; the next tick sends them or steps down. */
  private void actIfLeading() {
    if (replica.leadsSurely(Clock.nowMillis())) {
      runner.run(office.actions(!resigning), office);
    }
  }

  private void followRole() {
    ReplicaStatus status = replica.status();
    if (!status.isLeader()) {
      if (officeTerm > 0) {
        logger.atInfo().log("office-lost term=%d now=%d", officeTerm, status.term());
      }
      leaveOffice(0);
    } else if (officeTerm != status.term()) {
      logger.atInfo().log("elected node=%s term=%d", status.self().node(), status.term());
      metrics.elected();
      leaveOffice(status.term());
      officeIndex = status.lastIndex();
    }
    if (officeTerm > 0 && office == null && appliedIndex >= officeIndex) {
      office = new JobOffice(ledger, directory, settings.timing(), orderTimes, officeTerm);
      logger.atInfo().log("office-taken term=%d index=%d", officeTerm, appliedIndex);
    }
    announcer.follow(ownView(status), Clock.nowMillis());
  }

  private void leaveOffice(long nextTerm) {
    officeTerm = nextTerm;
    office = null;
    desk.clear();
  }

  private LeaderView ownView(ReplicaStatus status) {
    return office == null
        ? new LeaderView("", status.term(), "")
        : new LeaderView(status.self().node(), officeTerm, settings.controlAddress().orElse(""));
  }
}
