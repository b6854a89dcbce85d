package org.plantainknot.daemon.member;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.daemon.settings.HostPort;
import org.plantainknot.daemon.storage.StorageCodec;
import org.plantainknot.daemon.tls.TlsKeys;
import org.plantainknot.wire.member.FrameProto;
import org.plantainknot.wire.member.HelloProto;

/**
 * Links to all other members.
 *
 * <p>Each member sends over the links that it opened and listens on those that it accepted. A link
 * that fails or falls silent is replaced; frames for a member without a link, or with a full one,
 * are dropped, which the protocols above allow for.
 */
public final class MemberLinks implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final long REDIAL_MILLIS = 200;

  private final HelloProto hello;
  private final SortedMap<String, HostPort> addresses;
  private final FrameListener listener;
  private final Optional<TlsKeys> tls;
  private final Optional<SslContext> openedTls;
  private final EventLoopGroup group = new NioEventLoopGroup(2);
  private final Map<String, Channel> channels = new ConcurrentHashMap<>();
  private volatile boolean closed;

  /** Prepares the links of a member. */
  public MemberLinks(
      MemberId self,
      String process,
      SortedMap<String, HostPort> members,
      Optional<TlsKeys> tls,
      FrameListener listener) {
    this.hello =
        HelloProto.newBuilder()
            .setMember(StorageCodec.toProto(self))
            .setProcess(process)
            .setProtocolVersion(LinkHandler.PROTOCOL_VERSION)
            .build();
    this.addresses = new TreeMap<>(members);
    addresses.remove(self.node());
    this.listener = listener;
    this.tls = tls;
    this.openedTls = tls.map(TlsKeys::forOpenedLinks);
  }

  /** Listens on the address, and starts to open links to the others. */
  public void start(String host, int port) {
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new LinkInitializer(
                tls.map(TlsKeys::forAcceptedLinks), () -> new LinkHandler(hello, listener)))
        .bind(host, port)
        .syncUninterruptibly();
    addresses.keySet().forEach(this::dial);
  }

  /** Sends a frame, or drops it and returns false if the member can't be reached now. */
  public boolean send(String node, FrameProto frame) {
    Channel channel = channels.get(node);
    boolean open = channel != null && channel.isWritable();
    if (open) {
      channel.writeAndFlush(frame, channel.voidPromise());
    }
    return open;
  }

  /** Returns whether a link to each other member is up. */
  public SortedMap<String, Boolean> linked() {
    SortedMap<String, Boolean> linked = new TreeMap<>();
    addresses.keySet().forEach(node -> linked.put(node, channels.containsKey(node)));
    return linked;
  }

  @Override
  public void close() {
    closed = true;
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
  }

  private void dial(String node) {
    HostPort address = addresses.get(node);
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    ChannelFuture connecting =
        bootstrap
            .handler(new LinkInitializer(openedTls, () -> new LinkHandler(hello, listener)))
            .connect(address.host(), address.port());
    connecting.addListener(done -> onDialed(node, connecting));
  }

  private void onDialed(String node, ChannelFuture connecting) {
    Channel channel = connecting.channel();
    if (connecting.isSuccess()) {
      logger.atInfo().log("link-up peer=%s", node);
      channels.put(node, channel);
    }
    channel
        .closeFuture()
        .addListener(
            gone -> {
              channels.remove(node, channel);
              redial(node);
            });
  }

  private void redial(String node) {
    if (!closed && !group.isShuttingDown()) {
      group.schedule(() -> dial(node), REDIAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
