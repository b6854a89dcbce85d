package org.plantainknot.daemon.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.call.RequestHandler;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.daemon.leader.DirectoryUpdater;
import org.plantainknot.daemon.leader.LeaderClient;
import org.plantainknot.daemon.leader.LeaderView;
import org.plantainknot.daemon.member.FrameListener;
import org.plantainknot.daemon.member.MemberLinks;
import org.plantainknot.daemon.settings.ClusterSettings;
import org.plantainknot.daemon.settings.HostPort;
import org.plantainknot.wire.member.FrameProto;

/** Gateway process: keeps links to the controllers and forwards each request to their leader. */
public final class GatewayNode implements FrameListener, RequestHandler, AutoCloseable {

  private final MemberLinks links;
  private final LeaderClient leaderClient;
  private volatile boolean stopping;

  /** Creates the gateway; no link is opened before {@link #start}. */
  public GatewayNode(ClusterSettings settings, MetricRegistry metrics) {
    String process = UUID.randomUUID().toString();
    this.links =
        new MemberLinks(
            new MemberId(settings.node(), process),
            process,
            "",
            settings.seedLinks(),
            Optional.empty(),
            this);
    this.leaderClient = new LeaderClient(links::send, links::isLinked);
    metrics.gauge(MemberLinks.CONGESTIONS_METRIC, () -> links::congestions);
  }

  /** Starts opening links to the controllers. */
  public void start() {
    links.startDialing();
  }

  /** Does the periodic work: resends and times out pending requests. */
  public void tick() {
    leaderClient.tick();
  }

  /** Returns whether the leader is known and linked, and no stop has been announced. */
  public boolean isReady() {
    LeaderView leader = leaderClient.leader();
    return !stopping && leader.isKnown() && links.isLinked(leader.node());
  }

  /** Makes {@link #isReady} return false from now on, so that health checks fail. */
  public void announceStop() {
    stopping = true;
  }

  /** Answers all pending requests at once, and all later ones, without waiting for the leader. */
  public void failAllPending() {
    leaderClient.failAllPending();
  }

  @Override
  public CompletionStage<Reply> handle(Request request, long timeoutMillis) {
    return leaderClient.handle(request, timeoutMillis);
  }

  @Override
  public void onLinked(MemberId peer, String address) {
    HostPort.parse(address).ifPresent(links::addAddress);
    leaderClient.onLinked(peer.node());
  }

  @Override
  public void onFrame(MemberId sender, FrameProto frame) {
    if (frame.hasDirectory()) {
      DirectoryUpdater.apply(sender, frame.getDirectory(), links, leaderClient);
    } else if (frame.hasCallReply()) {
      leaderClient.onReply(frame.getCallReply());
    }
  }

  @Override
  public void close() {
    links.close();
  }
}
