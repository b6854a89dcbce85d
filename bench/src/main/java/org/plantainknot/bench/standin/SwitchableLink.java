package org.plantainknot.bench.standin;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainknot.daemon.settings.HostPort;

/** TCP proxy that can simulate a partition: it keeps connections open but discards all bytes. */
public final class SwitchableLink {

  private final Vertx vertx;
  private final HostPort target;
  private final Set<NetSocket> discardingSockets = ConcurrentHashMap.newKeySet();
  private final Set<NetSocket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile boolean discardAll;

  /** Starts a proxy from an address to a target that forwards all bytes. */
  public SwitchableLink(Vertx vertx, HostPort listen, HostPort target) {
    this.vertx = vertx;
    this.target = target;
    vertx
        .createNetServer(new NetServerOptions().setTcpNoDelay(true))
        .connectHandler(this::connect)
        .listen(listen.port(), listen.host());
  }

  /**
   * Starts or stops discarding. Connections that are open at the start stay silent for good; later
   * ones are forwarded again after the stop.
   */
  public void dropTraffic(boolean enabled) {
    discardAll = enabled;
    if (enabled) {
      discardingSockets.addAll(openSockets);
    }
  }

  /** Discards the bytes of all open connections for good, while new connections work. */
  public void dropTrafficOnOpenConnections() {
    discardingSockets.addAll(openSockets);
  }

  private void connect(NetSocket client) {
    openSockets.add(client);
    client.closeHandler(closed -> openSockets.remove(client));
    client.pause();
    vertx
        .createNetClient(new NetClientOptions().setTcpNoDelay(true))
        .connect(target.port(), target.host())
        .onSuccess(server -> relay(client, server))
        .onFailure(failure -> client.close());
  }

  private void relay(NetSocket client, NetSocket server) {
    client.handler(bytes -> forward(client, () -> server.write(bytes)));
    server.handler(bytes -> forward(client, () -> client.write(bytes)));
    client.closeHandler(
        closed -> {
          openSockets.remove(client);
          server.close();
        });
    server.closeHandler(closed -> client.close());
    client.resume();
  }

  private void forward(NetSocket client, Runnable write) {
    if (!discardAll && !discardingSockets.contains(client)) {
      write.run();
    }
  }
}
