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
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.daemon.settings.HostPort;
import org.plantainknot.daemon.storage.StorageCodec;
import org.plantainknot.daemon.tls.TlsKeys;
import org.plantainknot.wire.member.FrameProto;
import org.plantainknot.wire.member.HelloProto;

/**
 * Links to the other members.
 *
 * <p>A member opens a link to each known address, and the peer's hello frame tells which node
 * listens there. A frame is sent over the link that this member opened to the receiver or, if there
 * is none, over a link that the receiver opened. Receivers named in the settings are the exception:
 * each side then sends only over the links that it opened, so that each can tell whether its own
 * frames get through. A link that fails or times out is reopened by the side that opened it.
 *
 * <p>Frames to a member without a link are dropped; the protocols above tolerate the loss. While a
 * link is up, no frame on it is dropped: frames that the peer is slow to take wait in order. A link
 * with too many bytes waiting is closed, so that a peer never receives frames with gaps in between.
 */
public final class MemberLinks implements AutoCloseable {

  /** Name of the metric that tells how often a link's send buffer has become full. */
  public static final String CONGESTIONS_METRIC = "links.congestions";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final long REDIAL_MILLIS = 200;

  /** Bytes waiting on a link above which it is closed; several times the size of a snapshot. */
  private static final long MAX_WAITING_BYTES = 24L << 20;

  private final HelloProto hello;
  private final FrameListener listener;
  private final Optional<TlsKeys> tls;
  private final Optional<SslContext> openedTls;
  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final Set<HostPort> addresses = ConcurrentHashMap.newKeySet();
  private final Set<String> configuredNodes = new HashSet<>();
  private final Set<String> nodes = ConcurrentHashMap.newKeySet();
  private final Map<String, Channel> openedByNode = new ConcurrentHashMap<>();
  private final Map<String, Channel> acceptedByNode = new ConcurrentHashMap<>();
  private final LongAdder congestions = new LongAdder();
  private volatile boolean started;
  private volatile boolean closed;

  /**
   * Creates the links of a member whose settings name the nodes of all members.
   *
   * @param self this member
   * @param process identifier of this process
   * @param members address of each member by node name, this one included
   * @param tls keys, if the links are encrypted
   * @param listener receiver of frames
   */
  public MemberLinks(
      MemberId self,
      String process,
      SortedMap<String, HostPort> members,
      Optional<TlsKeys> tls,
      FrameListener listener) {
    this(self, process, "", withoutSelf(self, members).values(), tls, listener);
    configuredNodes.addAll(withoutSelf(self, members).keySet());
    nodes.addAll(configuredNodes);
  }

  /**
   * Creates the links of a member that knows only the addresses of the others, not their names.
   *
   * @param self this member
   * @param process identifier of this process
   * @param address address at which others may open links to it, or an empty string
   * @param initialAddresses addresses known from the start
   * @param tls keys, if the links are encrypted
   * @param listener receiver of frames
   */
  public MemberLinks(
      MemberId self,
      String process,
      String address,
      Collection<HostPort> initialAddresses,
      Optional<TlsKeys> tls,
      FrameListener listener) {
    this.hello =
        HelloProto.newBuilder()
            .setMember(StorageCodec.toProto(self))
            .setProcess(process)
            .setProtocolVersion(LinkHandler.PROTOCOL_VERSION)
            .setAddress(address)
            .build();
    this.listener = listener;
    this.tls = tls;
    this.openedTls = tls.map(TlsKeys::clientContext);
    initialAddresses.forEach(this::addAddress);
  }

  /** Listens on the address and starts opening links to the other members. */
  public void start(String host, int port) {
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new LinkInitializer(
                tls.map(TlsKeys::serverContext),
                () -> new LinkHandler(hello, listener, this::onAccepted, congestions::increment)))
        .bind(host, port)
        .syncUninterruptibly();
    startDialing();
  }

  /** Starts opening links to the other members, without listening. */
  public void startDialing() {
    started = true;
    addresses.forEach(this::dial);
  }

  /** Adds an address to open a link to, unless it is already known or this member's own. */
  public void addAddress(HostPort address) {
    boolean own = address.toString().equals(hello.getAddress());
    if (!own && addresses.add(address) && started) {
      dial(address);
    }
  }

  /** Sends a frame; drops it and returns false if there is no link. */
  public boolean send(String node, FrameProto frame) {
    Channel accepted = configuredNodes.contains(node) ? null : acceptedByNode.get(node);
    Channel channel = openedByNode.getOrDefault(node, accepted);
    if (channel == null || !channel.isActive()) {
      return false;
    }
    if (channel.bytesBeforeWritable() > MAX_WAITING_BYTES) {
      logger.atWarning().log(
          "link-closed reason=too-many-bytes-waiting peer=%s bytes=%d",
          node, channel.bytesBeforeWritable());
      channel.close();
      return false;
    }
    channel.writeAndFlush(frame, channel.voidPromise());
    return true;
  }

  /** Returns how often a link's send buffer has become full. */
  public long congestions() {
    return congestions.sum();
  }

  /** Returns, for each other member by node name, whether a link to it is up. */
  public SortedMap<String, Boolean> linkStates() {
    SortedMap<String, Boolean> linkStates = new TreeMap<>();
    nodes.forEach(node -> linkStates.put(node, isLinked(node)));
    return linkStates;
  }

  /** Returns whether there is a link over which frames to the node are sent. */
  public boolean isLinked(String node) {
    boolean accepted = !configuredNodes.contains(node) && acceptedByNode.containsKey(node);
    return accepted || openedByNode.containsKey(node);
  }

  @Override
  public void close() {
    closed = true;
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
  }

  private void onAccepted(MemberId peer, Channel channel) {
    nodes.add(peer.node());
    acceptedByNode.put(peer.node(), channel);
    channel.closeFuture().addListener(future -> acceptedByNode.remove(peer.node(), channel));
  }

  private void onOpened(HostPort address, MemberId peer, Channel channel) {
    logger.atInfo().log("link-up peer=%s address=%s", peer, address);
    nodes.add(peer.node());
    openedByNode.put(peer.node(), channel);
    channel.closeFuture().addListener(future -> openedByNode.remove(peer.node(), channel));
  }

  private void dial(HostPort address) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    ChannelFuture connecting =
        bootstrap
            .handler(
                new LinkInitializer(
                    openedTls,
                    () ->
                        new LinkHandler(
                            hello,
                            listener,
                            (peer, channel) -> onOpened(address, peer, channel),
                            congestions::increment)))
            .connect(address.host(), address.port());
    connecting.channel().closeFuture().addListener(future -> redial(address));
  }

  private void redial(HostPort address) {
    if (!closed && !group.isShuttingDown() && addresses.contains(address)) {
      group.schedule(() -> dial(address), REDIAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static SortedMap<String, HostPort> withoutSelf(
      MemberId self, SortedMap<String, HostPort> members) {
    SortedMap<String, HostPort> others = new TreeMap<>(members);
    others.remove(self.node());
    return others;
  }
}
