package org.plantainknot.daemon.controller;

import com.codahale.metrics.MetricRegistry;
import io.vertx.mutiny.core.Vertx;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.call.RequestHandler;
import org.plantainknot.core.job.JobCommand;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.replica.Envelope;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Membership;
import org.plantainknot.core.replica.Message;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.ReplicaTiming;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.core.replica.VoterPlan;
import org.plantainknot.core.schedule.WorkerDirectory;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.daemon.control.ControlThread;
import org.plantainknot.daemon.control.LeadershipTransfer;
import org.plantainknot.daemon.control.ReplicaDriver;
import org.plantainknot.daemon.control.StorageWriter;
import org.plantainknot.daemon.control.VoterChange;
import org.plantainknot.daemon.leader.DirectoryUpdater;
import org.plantainknot.daemon.leader.LeaderClient;
import org.plantainknot.daemon.member.FrameCodec;
import org.plantainknot.daemon.member.FrameListener;
import org.plantainknot.daemon.member.MemberLinks;
import org.plantainknot.daemon.metrics.DecisionMetrics;
import org.plantainknot.daemon.settings.ClusterSettings;
import org.plantainknot.daemon.settings.HostPort;
import org.plantainknot.daemon.storage.DiskStorage;
import org.plantainknot.daemon.storage.StorageCodec;
import org.plantainknot.platform.AdviceClient;
import org.plantainknot.platform.MachineClient;
import org.plantainknot.platform.WorkerClient;
import org.plantainknot.wire.member.CallProto;
import org.plantainknot.wire.member.FormProto;
import org.plantainknot.wire.member.FrameProto;

/**
 * Controller process: a member of the replicated log, and the leader of the cluster while elected.
 *
 * <p>A single thread, the control thread, owns the replica, the replicated job state and the
 * leader's scheduler. It processes the output of the replica once for each batch of frames, syncs
 * and answers, so that under load entries share their sync, their messages and their round.
 */
public final class ControllerNode implements FrameListener, RequestHandler, AutoCloseable {

  private static final long TICK_MILLIS = 20;
  private static final long MEMBERSHIP_INTERVAL_MILLIS = 100;

  /** Index of a command that was not proposed because this member is not the leader. */
  private static final long NOT_LEADER = -1;

  private final ClusterSettings settings;
  private final MemberId self;
  private final Replica replica;
  private final ReplicaDriver driver;
  private final StorageWriter writer;
  private final VoterChange voterChange;
  private final VoterPlan voterPlan;
  private final MemberLinks links;
  private final Formation formation;
  private final LeaderClient leaderClient;
  private final JobLedger ledger = new JobLedger();
  private final WorkerDirectory directory = new WorkerDirectory();
  private final RequestProcessor requestProcessor;
  private final ControlThread control = new ControlThread(this::drain);
  private final LeaderAnnouncer announcer;
  private final JobStateMachine stateMachine;
  private final CallHandler callHandler;
  private final Compactor compactor;
  private long lastMembershipMillis;
  private boolean flushPosted;

  /** Creates the node and restores its stored state; links start with {@link #start}. */
  public ControllerNode(
      ClusterSettings settings, Vertx vertx, MetricRegistry metrics, Runnable onStorageFailure) {
    this.settings = settings;
    DiskStorage storage = DiskStorage.open(settings.dataFolder().orElseThrow(), settings.node());
    this.self = storage.member();
    this.replica =
        new Replica(
            self,
            ReplicaTiming.DEFAULT,
            storage.stored(),
            UUID.randomUUID().getMostSignificantBits(),
            Clock.nowMillis());
    this.voterChange = new VoterChange(replica);
    this.voterPlan = new VoterPlan(settings.tolerableLosses());
    HostPort linkAddress = settings.linkAddress();
    this.formation = new Formation(settings.bootstrap(), settings.seedLinks(), linkAddress);
    this.links =
        new MemberLinks(
            self,
            UUID.randomUUID().toString(),
            linkAddress.toString(),
            settings.seedLinks(),
            Optional.empty(),
            this);
    metrics.gauge(MemberLinks.CONGESTIONS_METRIC, () -> links::congestions);
    this.leaderClient = new LeaderClient(this::sendOrHandle, this::isReachable);
    this.announcer = new LeaderAnnouncer(links, leaderClient, self.node());
    this.writer = new StorageWriter(storage, this::onSynced, onStorageFailure);
    DecisionMetrics decisionMetrics = new DecisionMetrics(metrics);
    this.requestProcessor = new RequestProcessor(ledger, this::propose, decisionMetrics);
    this.stateMachine =
        new JobStateMachine(
            replica,
            ledger,
            directory,
            settings,
            requestProcessor,
            createActionRunner(vertx),
            announcer,
            decisionMetrics);
    this.callHandler =
        new CallHandler(
            stateMachine::acceptsRequests,
            directory,
            requestProcessor,
            ledger::mayHaveWorkers,
            settings.controlAddress().orElse(""),
            this::sendToControllers);
    this.driver =
        new ReplicaDriver(
            replica,
            writer,
            ReplicaDriver.SyncMode.CONCURRENT_WITH_MESSAGES,
            this::send,
            stateMachine);
    this.compactor = new Compactor(replica, driver, ledger, control::execute);
    Snapshot snapshot = storage.stored().snapshot();
    if (snapshot.lastIndex() > 0) {
      stateMachine.restore(snapshot.data(), snapshot.lastIndex());
    }
  }

  private ActionRunner createActionRunner(Vertx vertx) {
    return new ActionRunner(
        new WorkerClient(vertx),
        new MachineClient(vertx, settings.machinesAddress(), settings.node()),
        new AdviceClient(vertx, settings.adviceAddress()),
        control::execute,
        this::propose);
  }

  /** Starts the links and the control thread. */
  public void start() {
    links.start(settings.host(), settings.memberPort());
    control.repeat(this::tick, TICK_MILLIS);
  }

  @Override
  public CompletionStage<Reply> handle(Request request, long timeoutMillis) {
    if (request instanceof Request.Heartbeat heartbeat) {
      control.execute(() -> directory.recordHeartbeat(heartbeat.heartbeat(), Clock.nowMillis()));
    }
    return leaderClient.handle(request, timeoutMillis);
  }

  /**
   * Transfers leadership if this node is the leader; tells whether another member became leader
   * before the timeout.
   */
  public CompletionStage<Boolean> transferLeadership(long timeoutMillis) {
    return new LeadershipTransfer(replica, control, driver::drain)
        .start(stateMachine::prepareLeadershipTransfer, timeoutMillis);
  }

  /** Answers all pending requests at once, and all later ones, without waiting for the leader. */
  public void failAllPending() {
    leaderClient.failAllPending();
  }

  @Override
  public void close() {
    compactor.close();
    control.shutdown();
    writer.close();
    links.close();
  }

  @Override
  public void onLinked(MemberId peer, String address) {
    control.executeUrgently(
        () -> {
          if (!address.isEmpty()) {
            announcer.controllerSeen(peer.node(), address);
            callHandler.onControllerLinked();
            replica.addPeer(peer);
            voterChange.addPeer(peer);
            formation.memberSeen(address, peer);
            HostPort.parse(address).ifPresent(links::addAddress);
          }
          announcer.sendDirectory(peer.node());
          leaderClient.onLinked(peer.node());
        });
  }

  @Override
  public void onFrame(MemberId sender, FrameProto frame) {
    switch (frame.getBodyCase()) {
      case CALL, CALL_REPLY, DIRECTORY, WORKER_HEARTBEAT ->
          control.execute(() -> handleFrame(sender, frame));
      default -> control.executeUrgently(() -> handleFrame(sender, frame));
    }
  }

  private void handleFrame(MemberId sender, FrameProto frame) {
    switch (frame.getBodyCase()) {
      case CALL -> handleCall(frame.getCall(), reply -> links.send(sender.node(), reply));
      case CALL_REPLY -> leaderClient.onReply(frame.getCallReply());
      case DIRECTORY -> DirectoryUpdater.apply(sender, frame.getDirectory(), links, leaderClient);
      case FORM -> voterChange.form(frame.getForm());
      case WORKER_HEARTBEAT -> callHandler.onForwardedHeartbeat(frame.getWorkerHeartbeat());
      default -> {
        Message message = FrameCodec.fromFrame(frame);
        if (message != null) {
          replica.receive(sender, message, Clock.nowMillis());
        }
      }
    }
  }

  private boolean isReachable(String node) {
    return node.equals(self.node()) || links.isLinked(node);
  }

  /** Sends a frame to a node, or handles it directly if the node is this one. */
  private boolean sendOrHandle(String node, FrameProto frame) {
    if (!node.equals(self.node())) {
      return links.send(node, frame);
    }
    control.execute(
        () -> handleCall(frame.getCall(), reply -> leaderClient.onReply(reply.getCallReply())));
    return true;
  }

  private void handleCall(CallProto call, Consumer<FrameProto> sender) {
    callHandler.handle(call, sender);
    if (requestProcessor.needsRound()) {
      postFlush();
    }
  }

  private void sendToControllers(FrameProto frame) {
    announcer.controllers().forEach(node -> links.send(node, frame));
  }

  private void tick() {
    long nowMillis = Clock.nowMillis();
    replica.tick(nowMillis);
    if (nowMillis - lastMembershipMillis >= MEMBERSHIP_INTERVAL_MILLIS) {
      lastMembershipMillis = nowMillis;
      formClusterIfDue();
      voterChange.applyPlan(voterPlan, nowMillis);
      directory.removeUnresponsive(nowMillis);
      callHandler.tick(nowMillis);
    }
    driver.drain();
    flush();
    leaderClient.tick();
    compactor.compactIfLarge(stateMachine.appliedIndex());
  }

  private void formClusterIfDue() {
    if (replica.status().lastIndex() > 0) {
      return;
    }
    formation
        .nodesToForm(self)
        .ifPresent(
            nodes -> {
              Membership membership = voterChange.planMembership(self, nodes);
              replica.form(membership);
              FormProto form =
                  FormProto.newBuilder().setMembership(StorageCodec.toProto(membership)).build();
              FrameProto frame = FrameProto.newBuilder().setForm(form).build();
              nodes.forEach(node -> links.send(node, frame));
            });
  }

  private long propose(JobCommand command) {
    byte[] encoded = JobStateMachine.encode(command);
    Optional<Long> index = replica.propose(encoded);
    index.ifPresent(proposed -> stateMachine.proposed(proposed, command, encoded.length));
    postFlush();
    return index.orElse(NOT_LEADER);
  }

  private void postFlush() {
    if (!flushPosted) {
      flushPosted = true;
      control.execute(this::flush);
    }
  }

  private void drain() {
    driver.drain();
  }

  private void flush() {
    flushPosted = false;
    long nowMillis = Clock.nowMillis();
    replica.flush(nowMillis);
    if (stateMachine.isServing() && requestProcessor.needsRound()) {
      requestProcessor.onRoundStarted(replica.startRound(nowMillis));
    }
    driver.drain();
  }

  private void onSynced(long token) {
    control.executeUrgently(() -> driver.synced(token));
  }

  private void send(Envelope envelope) {
    links.send(envelope.receiver().node(), FrameCodec.toFrame(envelope.message()));
  }
}
