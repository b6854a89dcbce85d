package org.plantainknot.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.VertxOptions;
import io.vertx.mutiny.core.Vertx;
import java.time.Duration;
import java.util.UUID;
import org.plantainknot.core.routing.PoolLimits;
import org.plantainknot.daemon.caller.CallerServer;
import org.plantainknot.daemon.caller.Gateway;
import org.plantainknot.daemon.control.Clock;
import org.plantainknot.daemon.control.ControlNode;
import org.plantainknot.daemon.exit.ExitStatus;
import org.plantainknot.daemon.operator.MetricsPage;
import org.plantainknot.daemon.operator.OperatorServer;
import org.plantainknot.daemon.platform.PlatformClient;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.daemon.settings.SettingKey;
import org.plantainknot.daemon.storage.DiskStorage;
import org.plantainknot.daemon.storage.MemoryStorage;
import org.plantainknot.daemon.storage.ReplicaStorage;
import org.plantainknot.daemon.target.AnnouncementReceiver;
import org.plantainknot.daemon.target.TargetClient;

/** Daemon process: a gateway on every entry VM, and a voter if the settings give a data folder. */
public final class Daemon {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long QUEUE_TICK_MILLIS = 20;
  private static final long STOP_POLL_MILLIS = 20;
  private static final long RESIGN_TIMEOUT_MILLIS = 2_000;

  /**
   * Time for which a former leader still answers late commands with "not leader", so that their
   * senders keep them. Without that answer a claim would stay unconfirmed, as it is never sent
   * twice.
   */
  private static final long LATE_COMMAND_MILLIS = 300;

  private final DaemonSettings settings;
  private final String process;
  private final Vertx vertx;
  private final MetricRegistry metrics = new MetricRegistry();
  private final PlatformClient platform;
  private final ControlNode node;
  private final Gateway gateway;
  private final AnnouncementReceiver announcementReceiver;

  /** Creates a daemon and opens its data folder, if the settings give one. */
  public Daemon(DaemonSettings settings) {
    this.settings = settings;
    this.process = settings.node() + "-" + UUID.randomUUID().toString().substring(0, 8);
    int threads = (int) settings.number(SettingKey.LISTEN_THREADS);
    this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(threads));
    this.platform = new PlatformClient(vertx, settings);
    this.node =
        new ControlNode(
            settings, process, openStorage(), platform::isRebooted, ExitStatus.STORAGE::halt);
    this.announcementReceiver = new AnnouncementReceiver(node);
    TargetClient targets =
        new TargetClient(vertx, process, settings.number(SettingKey.LIMIT_ANSWER_BYTES));
    PoolLimits limits =
        new PoolLimits(
            (int) settings.number(SettingKey.LIMIT_QUEUE_CAPACITY),
            settings.number(SettingKey.LIMIT_REQUEST_MAX_MILLIS));
    this.gateway = new Gateway(node, targets, announcementReceiver, limits, metrics);
  }

  /** Returns the identifier of this process. */
  public String process() {
    return process;
  }

  /** Starts all listeners and links. */
  public void start() {
    node.start(gateway);
    int threads = (int) settings.number(SettingKey.LISTEN_THREADS);
    vertx
        .deployVerticle(
            () -> new CallerServer(settings, gateway, announcementReceiver),
            new DeploymentOptions().setInstances(threads))
        .await()
        .indefinitely();
    MetricsPage page = new MetricsPage(metrics);
    vertx.deployVerticle(new OperatorServer(settings, node, gateway, page)).await().indefinitely();
    vertx.setPeriodic(QUEUE_TICK_MILLIS, id -> gateway.tick());
    vertx.setPeriodic(
        settings.number(SettingKey.PLATFORM_POLL_MILLIS),
        id -> platform.poll(node).subscribe().with(done -> {}, failure -> {}));
  }

  /**
   * Stops gracefully: fails the health check, rejects new requests, finishes those in progress and
   * transfers the leadership.
   */
  public void stop() {
    long deadlineMillis = Clock.nowMillis() + settings.number(SettingKey.STOP_MILLIS);
    logger.atInfo().log("stopping node=%s", settings.node());
    gateway.announceStop();
    sleep(settings.number(SettingKey.STOP_NOTICE_MILLIS));
    gateway.stop();
    while (gateway.inProgress() > 0 && Clock.nowMillis() < deadlineMillis) {
      sleep(STOP_POLL_MILLIS);
    }
    long remainingMillis = Math.max(1, deadlineMillis - Clock.nowMillis());
    boolean leaveRecorded =
        node.leave(remainingMillis).await().atMost(Duration.ofMillis(remainingMillis + 1_000));
    node.transferLeadership(RESIGN_TIMEOUT_MILLIS)
        .await()
        .atMost(Duration.ofMillis(RESIGN_TIMEOUT_MILLIS + 1_000));
    sleep(LATE_COMMAND_MILLIS);
    node.close();
    vertx.close().await().atMost(Duration.ofSeconds(2));
    logger.atInfo().log("stopped node=%s noted-by-leader=%s", settings.node(), leaveRecorded);
  }

  private ReplicaStorage openStorage() {
    return settings
        .dataFolder()
        .<ReplicaStorage>map(folder -> DiskStorage.open(folder, settings.node()))
        .orElseGet(() -> new MemoryStorage(settings.node(), process));
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
