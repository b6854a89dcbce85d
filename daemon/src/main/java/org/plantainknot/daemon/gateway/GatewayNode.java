package org.plantainknot.daemon.gateway;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import org.plantainknot.core.call.Reply;
import org.plantainknot.core.call.Request;
import org.plantainknot.core.call.RequestHandler;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.daemon.leader.DirectoryNews;
import org.plantainknot.daemon.leader.LeaderClient;
import org.plantainknot.daemon.leader.LeaderView;
import org.plantainknot.daemon.member.FrameListener;
import org.plantainknot.daemon.member.MemberLinks;
import org.plantainknot.daemon.settings.ClusterSettings;
import org.plantainknot.daemon.settings.HostPort;
import org.plantainknot.wire.member.FrameProto;

/** Gateway: keeps links to the controllers and passes each request to their leader. */
public final class GatewayNode implements FrameListener, RequestHandler, AutoCloseable {

  private final MemberLinks links;
  private final LeaderClient leaderClient;
  private volatile boolean stopping;

  /** Prepares the node; nothing runs before {@link #start}. */
  public GatewayNode(ClusterSettings settings) {
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
  }

  /** Starts to open links. */
  public void start() {
    links.startDialing();
  }

  /** Lets time pass. */
  public void tick() {
    leaderClient.tick();
  }

  /** Returns whether requests can be answered now. */
  public boolean isReady() {
    LeaderView leader = leaderClient.leader();
    return !stopping && leader.isKnown() && links.isLinked(leader.node());
  }

  /** Fails the health checks from now on. */
  public void announceStop() {
    stopping = true;
  }

  /** Answers all requests now that have no answer yet. */
  public void giveUpAll() {
    leaderClient.giveUpAll();
  }

  @Override
  public CompletionStage<Reply> handle(Request request, long timeoutMillis) {
    return leaderClient.handle(request, timeoutMillis);
  }

  @Override
  public void onLinked(MemberId peer, String address) {
    HostPort.parse(address).ifPresent(links::learn);
  }

  @Override
  public void onFrame(MemberId sender, FrameProto frame) {
    if (frame.hasDirectory()) {
      DirectoryNews.learn(sender, frame.getDirectory(), links, leaderClient);
    } else if (frame.hasCallReply()) {
      leaderClient.answered(frame.getCallReply());
    }
  }

  @Override
  public void close() {
    links.close();
  }
}
