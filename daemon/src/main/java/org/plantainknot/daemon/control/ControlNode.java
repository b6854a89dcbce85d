package org.plantainknot.daemon.control;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.lease.GatewayLease;
import org.plantainknot.core.replica.Envelope;
import org.plantainknot.core.replica.LogSize;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Membership;
import org.plantainknot.core.replica.Message;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.ReplicaTiming;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.daemon.member.FrameCodec;
import org.plantainknot.daemon.member.FrameListener;
import org.plantainknot.daemon.member.MemberLinks;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.daemon.settings.SettingKey;
import org.plantainknot.daemon.storage.ReplicaStorage;
import org.plantainknot.daemon.storage.StorageCodec;
import org.plantainknot.daemon.tls.TlsKeys;
import org.plantainknot.wire.member.FormProto;
import org.plantainknot.wire.member.FrameProto;

/**
 * Runs the replicated log and state in this process.
 *
 * <p>A single thread, the control thread, owns the replica, the replicated state and the leader's
 * state for its term. The storage thread syncs concurrently with it, and the threads of the links
 * pass their frames to it.
 */
public final class ControlNode implements FrameListener, AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Size of the log from which on a snapshot replaces it, unless the snapshot is larger. */
  private static final long MAX_LOG_BYTES = 16 << 20;

  private static final long TICK_MILLIS = 10;
  private static final long LEAVE_POLL_MILLIS = 50;

  private final DaemonSettings settings;
  private final String process;
  private final ReplicaStorage storage;
  private final MemberId self;
  private final Replica replica;
  private final ControlState state;
  private final MemberLinks links;
  private final StorageWriter writer;
  private final Leader leader;
  private final LeaseClient leaseClient;
  private final CommandQueue commands = new CommandQueue();
  private final CommandForwarder forwarder;
  private final VoterChange voterChange;
  private final ControlThread control = new ControlThread();
  private final ReplicaDriver driver;
  private StateListener listener;
  private long publishedFleetVersion;
  private boolean flushPosted;
  private volatile boolean stopping;
  private volatile boolean ready;

  /** Creates the node and restores its stored state; links start with {@link #start}. */
  public ControlNode(
      DaemonSettings settings,
      String process,
      ReplicaStorage storage,
      Predicate<String> isRebooted,
      Runnable onFailure) {
    this.settings = settings;
    this.process = process;
    this.storage = storage;
    this.self = storage.member();
    this.state = new ControlState(settings.claimLimits());
    this.replica =
        new Replica(
            self,
            ReplicaTiming.DEFAULT,
            storage.stored(),
            UUID.randomUUID().getMostSignificantBits(),
            Clock.nowMillis());
    this.voterChange = new VoterChange(replica);
    this.leader =
        new Leader(
            settings, replica, state, commands, isRebooted, this::sendOrHandle, this::postFlush);
    this.leaseClient = new LeaseClient(settings, process, state, this::sendOrHandle);
    Snapshot snapshot = storage.stored().snapshot();
    if (snapshot.lastIndex() > 0) {
      state.restore(StateCodec.decodeImage(snapshot.data()));
    }
    this.links = new MemberLinks(self, process, settings.members(), TlsKeys.of(settings), this);
    this.forwarder = new CommandForwarder(replica, commands, links::send);
    this.writer = new StorageWriter(storage, this::onSynced, onFailure);
    this.driver = createDriver();
  }

  /** Starts the links and the control thread. */
  public void start(StateListener stateListener) {
    this.listener = stateListener;
    leaseClient.start(stateListener);
    links.start(
        settings.text(SettingKey.LISTEN_HOST),
        (int) settings.number(SettingKey.LISTEN_MEMBER_PORT));
    control.repeat(this::tick, TICK_MILLIS);
  }

  /** Returns the lease of this gateway. */
  public GatewayLease lease() {
    return leaseClient.lease();
  }

  /** Returns the identifier of this process. */
  public String process() {
    return process;
  }

  /** Returns whether this gateway may accept new requests now. */
  public boolean acceptsRequests() {
    return ready && !stopping && lease().isHeld(Clock.nowMillis(), Clock.wallMillis());
  }

  /** Submits a command to the log and returns its result once it is applied on this node. */
  public Uni<Result> submit(Command command, long timeoutMillis) {
    return submit(UUID.randomUUID().toString(), command, timeoutMillis);
  }

  /**
   * Submits a command; one with the identifier of an earlier command counts as the same command.
   */
  public Uni<Result> submit(String commandId, Command command, long timeoutMillis) {
    CompletableFuture<Result> result = new CompletableFuture<>();
    long deadlineMillis = Clock.nowMillis() + timeoutMillis;
    control.execute(
        () -> {
          commands.add(commandId, command, result, deadlineMillis);
          postFlush();
        });
    return Uni.createFrom().completionStage(result);
  }

  /** Applies a function to the state on the control thread and returns its result. */
  public <T> Uni<T> read(Function<ControlState, T> reader) {
    return control.call(() -> reader.apply(state));
  }

  /** Returns the state of this node for status reports. */
  public Uni<ControlView> view() {
    return control.call(
        () ->
            new ControlView(
                process,
                replica.status(),
                state.appliedIndex(),
                replica.logSize().entries(),
                leader.isServing(),
                lease().untilMillis() - Clock.nowMillis(),
                links.linkStates(),
                commands.size(),
                leader.waiting()));
  }

  /** Forms a new cluster of the named voters, which must be linked and have empty disks. */
  public Uni<Membership> form(List<String> nodes) {
    return control.call(
        () -> {
          Membership membership = voterChange.planMembership(self, nodes);
          replica.form(membership);
          FormProto form =
              FormProto.newBuilder().setMembership(StorageCodec.toProto(membership)).build();
          nodes.forEach(n -> links.send(n, FrameProto.newBuilder().setForm(form).build()));
          drain();
          return membership;
        });
  }

  /** Starts to replace a voter's lost disk with the current disk of its node. */
  public Uni<String> replaceVoter(String node) {
    return control.call(() -> voterChange.replace(node));
  }

  /**
   * Stops this gateway; completes with true once the replicated state no longer lists it, or with
   * false at the timeout.
   */
  public Uni<Boolean> leave(long timeoutMillis) {
    stopping = true;
    CompletableFuture<Boolean> left = new CompletableFuture<>();
    long deadlineMillis = Clock.nowMillis() + timeoutMillis;
    control.execute(
        () -> {
          leaseClient.stop();
          pollUntilLeft(left, deadlineMillis);
        });
    return Uni.createFrom().completionStage(left);
  }

  /**
   * Transfers leadership if this node is the leader, and rejects further commands so that their
   * senders retry them; tells whether another member became leader before the timeout.
   */
  public Uni<Boolean> transferLeadership(long timeoutMillis) {
    LeadershipTransfer transfer = new LeadershipTransfer(replica, control, this::drain);
    return Uni.createFrom()
        .completionStage(transfer.start(forwarder::stopAccepting, timeoutMillis));
  }

  @Override
  public void close() {
    control.shutdown();
    writer.close();
    links.close();
  }

  @Override
  public void onLinked(MemberId peer, String address) {
    control.execute(
        () -> {
          replica.addPeer(peer);
          voterChange.addPeer(peer);
        });
  }

  @Override
  public void onFrame(MemberId sender, FrameProto frame) {
    control.execute(() -> handle(sender, frame));
  }

  private void handle(MemberId sender, FrameProto frame) {
    long nowMillis = Clock.nowMillis();
    switch (frame.getBodyCase()) {
      case PROPOSE -> {
        if (forwarder.onPropose(sender.node(), frame.getPropose().getCommandsList())) {
          postFlush();
        }
      }
      case NOT_LEADER -> frame.getNotLeader().getCommandIdsList().forEach(commands::rejected);
      case LEASE_REQUEST -> leader.onLeaseRequest(sender.node(), frame.getLeaseRequest());
      case LEASE_REPLY -> leaseClient.onReply(frame.getLeaseReply());
      case FORM -> voterChange.form(frame.getForm());
      default -> {
        Message message = FrameCodec.fromFrame(frame);
        if (message != null) {
          replica.receive(sender, message, nowMillis);
        }
      }
    }
    drain();
  }

  private void tick() {
    long nowMillis = Clock.nowMillis();
    replica.tick(nowMillis);
    drain();
    commands.expire(nowMillis);
    flush();
    leaseClient.requestLease(replica.status().leader(), nowMillis, false);
    leader.performDuties(nowMillis);
    voterChange.advanceReplacement();
    compactIfLarge();
    drain();
  }

  private void postFlush() {
    if (!flushPosted) {
      flushPosted = true;
      control.execute(this::flush);
    }
  }

  /** Sends what has accumulated since the last flush: commands, lease requests and new entries. */
  private void flush() {
    flushPosted = false;
    long nowMillis = Clock.nowMillis();
    forwarder.sendUnsent(nowMillis);
    replica.flush(nowMillis);
    leader.startRound(nowMillis);
    drain();
  }

  private void drain() {
    driver.drain();
  }

  private ReplicaDriver createDriver() {
    ReplicaDriver.SyncMode mode =
        settings.dataFolder().isEmpty()
            ? ReplicaDriver.SyncMode.NONE
            : settings.flag(SettingKey.LOG_PARALLEL_SYNC)
                ? ReplicaDriver.SyncMode.CONCURRENT_WITH_MESSAGES
                : ReplicaDriver.SyncMode.BEFORE_MESSAGES;
    return new ReplicaDriver(
        replica,
        writer,
        mode,
        this::send,
        new ControlStateMachine(state, commands, this::onDrained));
  }

  private void onDrained() {
    leader.updateRole();
    publishStateChanges();
    leader.answerLeaseRequests();
  }

  private void onSynced(long token) {
    control.execute(
        () -> {
          driver.synced(token);
          driver.drain();
        });
  }

  private void send(Envelope envelope) {
    links.send(envelope.receiver().node(), FrameCodec.toFrame(envelope.message()));
  }

  /** Sends a frame to a node, or handles it directly if the node is this one. */
  private void sendOrHandle(String node, FrameProto frame) {
    if (!node.equals(self.node())) {
      links.send(node, frame);
    } else if (frame.hasLeaseRequest()) {
      leader.onLeaseRequest(node, frame.getLeaseRequest());
    } else {
      leaseClient.onReply(frame.getLeaseReply());
    }
  }

  private void publishStateChanges() {
    lease().applied(state.appliedIndex());
    if (state.fleetVersion() != publishedFleetVersion) {
      publishedFleetVersion = state.fleetVersion();
      listener.onFleetChanged(state);
      ready = true;
      leaseClient.requestLease(replica.status().leader(), Clock.nowMillis(), true);
    }
  }

  private void compactIfLarge() {
    LogSize log = replica.logSize();
    boolean large =
        log.entries() > settings.number(SettingKey.LOG_SNAPSHOT_ENTRIES)
            || log.bytes() > Math.max(MAX_LOG_BYTES, log.snapshotBytes());
    if (!large || replica.status().commitIndex() != state.appliedIndex()) {
      return;
    }
    drain();
    Snapshot snapshot = driver.compact(state.appliedIndex(), StateCodec.encode(state.image()));
    logger.atInfo().log("snapshot index=%d bytes=%d", snapshot.lastIndex(), snapshot.data().length);
  }

  private void pollUntilLeft(CompletableFuture<Boolean> left, long deadlineMillis) {
    boolean hasLeft = !state.gateways().isLive(process);
    if (hasLeft || Clock.nowMillis() >= deadlineMillis) {
      left.complete(hasLeft);
      return;
    }
    leaseClient.requestLease(replica.status().leader(), Clock.nowMillis(), true);
    control.schedule(() -> pollUntilLeft(left, deadlineMillis), LEAVE_POLL_MILLIS);
  }
}
