package org.plantainknot.bench.standin;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainknot.daemon.settings.HostPort;

/** Link between two addresses that can fall silent: it then takes bytes and passes none on. */
public final class SwitchableLink {

  private final Vertx vertx;
  private final HostPort target;
  private final Set<NetSocket> silenced = ConcurrentHashMap.newKeySet();
  private final Set<NetSocket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean silent;

  /** Opens a link that passes everything on. */
  public SwitchableLink(Vertx vertx, HostPort listen, HostPort target) {
    this.vertx = vertx;
    this.target = target;
    vertx
        .createNetServer(new NetServerOptions().setTcpNoDelay(true))
        .connectHandler(this::connect)
        .listen(listen.port(), listen.host());
  }

  /** Silences the link for connections old and new, or lets new ones pass again. */
  public void silence(boolean on) {
    silent = on;
    if (on) {
      silenced.addAll(open);
    }
  }

  /** Silences the open connections for good, while new ones work. */
  public void forgetOpenConnections() {
    silenced.addAll(open);
  }

  private void connect(NetSocket near) {
    open.add(near);
    near.closeHandler(closed -> open.remove(near));
    near.pause();
    vertx
        .createNetClient(new NetClientOptions().setTcpNoDelay(true))
        .connect(target.port(), target.host())
        .onSuccess(far -> join(near, far))
        .onFailure(failure -> near.close());
  }

  private void join(NetSocket near, NetSocket far) {
    near.handler(bytes -> pass(near, () -> far.write(bytes)));
    far.handler(bytes -> pass(near, () -> near.write(bytes)));
    near.closeHandler(
        closed -> {
          open.remove(near);
          far.close();
        });
    far.closeHandler(closed -> near.close());
    near.resume();
  }

  private void pass(NetSocket near, Runnable write) {
    if (!silent && !silenced.contains(near)) {
      write.run();
    }
  }
}
