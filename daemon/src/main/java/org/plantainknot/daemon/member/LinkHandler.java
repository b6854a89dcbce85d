package org.plantainknot.daemon.member;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.function.BiConsumer;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.daemon.storage.StorageCodec;
import org.plantainknot.wire.member.FrameProto;
import org.plantainknot.wire.member.HeartbeatProto;
import org.plantainknot.wire.member.HelloProto;

/**
 * One end of a link: sends the hello frame and heartbeats, and closes the link on a read timeout.
 */
final class LinkHandler extends SimpleChannelInboundHandler<FrameProto> {

  static final int PROTOCOL_VERSION = 1;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final FrameProto HEARTBEAT =
      FrameProto.newBuilder().setHeartbeat(HeartbeatProto.getDefaultInstance()).build();

  private final HelloProto hello;
  private final FrameListener listener;
  private final BiConsumer<MemberId, Channel> onHello;
  private final Runnable onCongestion;
  private MemberId peer;

  /**
   * Creates the handler of one end of a link.
   *
   * @param hello frame that tells the peer who this member is
   * @param listener receiver of the peer's frames
   * @param onHello called when the peer has told who it is
   * @param onCongestion called each time the send buffer becomes full
   */
  LinkHandler(
      HelloProto hello,
      FrameListener listener,
      BiConsumer<MemberId, Channel> onHello,
      Runnable onCongestion) {
    this.hello = hello;
    this.listener = listener;
    this.onHello = onHello;
    this.onCongestion = onCongestion;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    context.writeAndFlush(FrameProto.newBuilder().setHello(hello).build());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FrameProto frame) {
    if (frame.hasHello()) {
      handleHello(context, frame.getHello());
    } else if (peer == null) {
      logger.atWarning().log("link-closed reason=no-hello remote=%s", remote(context));
      context.close();
    } else if (!frame.hasHeartbeat()) {
      listener.onFrame(peer, frame);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (!(event instanceof IdleStateEvent idle)) {
      return;
    }
    if (idle.state() == IdleState.READER_IDLE) {
      logger.atInfo().log("link-closed reason=silent peer=%s", peer);
      context.close();
    } else if (idle.state() == IdleState.WRITER_IDLE) {
      context.writeAndFlush(HEARTBEAT);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    boolean congested = !context.channel().isWritable();
    if (congested) {
      onCongestion.run();
    }
    logger.atInfo().log("link-%s peer=%s", congested ? "congested" : "relieved", peer);
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    logger.atInfo().log("link-closed reason=%s peer=%s", cause, peer);
    context.close();
  }

  private void handleHello(ChannelHandlerContext context, HelloProto peerHello) {
    if (peerHello.getProtocolVersion() != PROTOCOL_VERSION) {
      logger.atSevere().log(
          "link-closed reason=protocol-version theirs=%d ours=%d",
          peerHello.getProtocolVersion(), PROTOCOL_VERSION);
      context.close();
      return;
    }
    peer = StorageCodec.fromProto(peerHello.getMember());
    onHello.accept(peer, context.channel());
    listener.onLinked(peer, peerHello.getAddress());
  }

  private static Object remote(ChannelHandlerContext context) {
    return context.channel().remoteAddress();
  }
}
