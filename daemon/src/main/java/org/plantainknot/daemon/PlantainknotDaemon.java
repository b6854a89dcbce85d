package org.plantainknot.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.LogManager;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.daemon.exit.ExitStatus;
import org.plantainknot.daemon.settings.ClusterSettings;
import org.plantainknot.daemon.settings.ClusterSettingsReader;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.daemon.settings.SettingsReader;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Entry point of {@code plantainknotd}. */
public final class PlantainknotDaemon {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");

  private PlantainknotDaemon() {}

  /** Parses the command line, reads the settings and starts the process. */
  public static void main(String[] args) {
    DaemonOptions options = new DaemonOptions();
    CmdLineParser parser = new CmdLineParser(options);
    try {
      parser.parseArgument(args);
      if (options.help()) {
        parser.printUsage(System.out);
        return;
      }
      run(options);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      ExitStatus.USAGE.exit();
    }
  }

  private static void run(DaemonOptions options) {
    try {
      Path file = options.settings();
      if (ClusterSettingsReader.isClusterFile(file)) {
        ClusterSettings settings = ClusterSettingsReader.read(file);
        startUnlessChecked(options, () -> startClusterProcess(settings));
      } else {
        DaemonSettings settings = SettingsReader.read(file);
        startUnlessChecked(options, () -> startDaemon(settings));
      }
    } catch (PlantainknotException e) {
      System.err.println(e.code().code() + " " + options.settings() + " can't be used");
      e.findings().forEach(System.err::println);
      if (e.findings().isEmpty()) {
        System.err.println(e.getMessage());
      }
      ExitStatus.USAGE.exit();
    }
  }

  private static void startUnlessChecked(DaemonOptions options, Runnable start) {
    if (options.check()) {
      System.out.println("settings are valid");
      return;
    }
    configureLogging();
    try {
      start.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("start-failed");
      ExitStatus.FAILED.halt();
    }
  }

  private static void startDaemon(DaemonSettings settings) {
    Daemon daemon = new Daemon(settings);
    daemon.start();
    stopOnSignal(daemon::stop);
    logger.atInfo().log("started node=%s process=%s", settings.node(), daemon.process());
  }

  private static void startClusterProcess(ClusterSettings settings) {
    ClusterProcess process = new ClusterProcess(settings);
    process.start();
    stopOnSignal(process::stop);
  }

  /**
   * Stops the process on a signal. A shutdown hook would run concurrently with the one that closes
   * the log, so its log lines would be lost.
   */
  private static void stopOnSignal(Runnable stop) {
    AtomicBoolean stopping = new AtomicBoolean();
    SignalHandler handler =
        signal -> {
          if (stopping.compareAndSet(false, true)) {
            startStopThread(stop);
          }
        };
    STOP_SIGNALS.forEach(name -> Signal.handle(new Signal(name), handler));
  }

  /**
   * Stops the process on a new thread. The signal handler's thread would make it a daemon thread by
   * inheritance, but the process has to stay alive until the stop is complete.
   */
  private static void startStopThread(Runnable stop) {
    Thread thread = new Thread(() -> stopAndExit(stop), "stop");
    thread.setDaemon(false);
    thread.start();
  }

  private static void stopAndExit(Runnable stop) {
    try {
      stop.run();
      ExitStatus.STOPPED.exit();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("stop-failed");
      ExitStatus.FAILED.exit();
    }
  }

  private static void configureLogging() {
    try (InputStream defaults =
        PlantainknotDaemon.class.getResourceAsStream("/logging.properties")) {
      LogManager.getLogManager().readConfiguration(defaults);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
