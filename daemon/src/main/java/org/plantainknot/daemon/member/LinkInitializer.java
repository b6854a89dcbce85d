package org.plantainknot.daemon.member;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.plantainknot.wire.member.FrameProto;

/** Sets up the pipeline of a link: TLS, length-prefixed protobuf frames and idle detection. */
final class LinkInitializer extends ChannelInitializer<SocketChannel> {

  static final long HEARTBEAT_MILLIS = 250;
  static final long READ_TIMEOUT_MILLIS = 1_000;

  private static final int MAX_FRAME_BYTES = 256 << 20;
  private static final int LENGTH_BYTES = 4;

  /** Frames written at once at most before they are flushed to the socket. */
  private static final int MAX_FRAMES_PER_FLUSH = 64;

  private final Optional<SslContext> tls;
  private final Supplier<ChannelHandler> handlerFactory;

  LinkInitializer(Optional<SslContext> tls, Supplier<ChannelHandler> handlerFactory) {
    this.tls = tls;
    this.handlerFactory = handlerFactory;
  }

  @Override
  protected void initChannel(SocketChannel channel) {
    tls.ifPresent(context -> channel.pipeline().addLast(context.newHandler(channel.alloc())));
    channel
        .pipeline()
        .addLast(
            new IdleStateHandler(READ_TIMEOUT_MILLIS, HEARTBEAT_MILLIS, 0, TimeUnit.MILLISECONDS))
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new ProtobufDecoder(FrameProto.getDefaultInstance()))
        .addLast(new FlushConsolidationHandler(MAX_FRAMES_PER_FLUSH, true))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new ProtobufEncoder())
        .addLast(handlerFactory.get());
  }
}
