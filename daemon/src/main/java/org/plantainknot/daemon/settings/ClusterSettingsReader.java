package org.plantainknot.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.plantainknot.core.error.Findings;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.core.schedule.DispatchTiming;

/** Reads and checks the settings of a process in a cluster of gateways and controllers. */
public final class ClusterSettingsReader {

  private static final long DEFAULT_TOLERABLE_LOSSES = 1;
  private static final long MAX_TOLERABLE_LOSSES = 10;
  private static final long DEFAULT_RENEW_WAIT_MILLIS = 1_000;
  private static final long DEFAULT_RETRY_MILLIS = 400;
  private static final String SECONDS_SUFFIX = "s";
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long MAX_PORT = 65_535;
  private static final long MAX_MILLIS = 3_600_000;
  private static final Set<String> KEYS =
      Set.of(
          "process.node",
          "process.role",
          "process.dataCenter",
          "process.dataFolder",
          "process.bootstrap",
          "process.seeds",
          "process.lossesToBear",
          "listen.host",
          "listen.memberPort",
          "listen.callers",
          "listen.ready",
          "listen.control",
          "listen.metricsPort",
          "platform.machines",
          "platform.advice",
          "timing.leaseMillis",
          "timing.renewWaitMillis",
          "timing.retryMillis",
          "timing.stopRunMillis",
          "timing.officeWaitMillis",
          "timing.maintenanceMillis",
          "timing.absenceMillis",
          "timing.stopMillis");

  private final INIConfiguration ini;
  private final Findings findings = new Findings();

  private ClusterSettingsReader(INIConfiguration ini) {
    this.ini = ini;
  }

  /** Returns whether the file holds cluster settings, that is, names a process role. */
  public static boolean isClusterFile(Path file) {
    return SettingsReader.load(file).containsKey("process.role");
  }

  /**
   * Reads a settings file.
   *
   * @throws PlantainknotException with all findings, if the settings are invalid
   */
  public static ClusterSettings read(Path file) {
    return new ClusterSettingsReader(SettingsReader.load(file)).read();
  }

  private ClusterSettings read() {
    rejectUnknownKeys();
    Optional<ProcessRole> role = ProcessRole.of(text("process.role"));
    findings.require(role.isPresent(), "[process] role", "must be gateway or controller");
    ClusterSettings settings =
        new ClusterSettings(
            required("process.node"),
            role.orElse(ProcessRole.GATEWAY),
            text("process.dataCenter"),
            required("listen.host"),
            (int) number("listen.memberPort", 0, MAX_PORT),
            address("listen.callers"),
            address("listen.ready"),
            address("listen.control"),
            (int) number("listen.metricsPort", 0, MAX_PORT),
            seeds(),
            Boolean.parseBoolean(text("process.bootstrap")),
            (int) number("process.lossesToBear", DEFAULT_TOLERABLE_LOSSES, MAX_TOLERABLE_LOSSES),
            optional("process.dataFolder").map(Path::of),
            text("platform.machines"),
            text("platform.advice"),
            number("timing.stopMillis", 5_000, MAX_MILLIS),
            timing());
    checkRole(settings);
    findings.throwIfAny("settings are invalid");
    return settings;
  }

  private void rejectUnknownKeys() {
    Iterator<String> keys = ini.getKeys();
    while (keys.hasNext()) {
      String key = keys.next();
      findings.require(KEYS.contains(key), key, "unknown key");
    }
  }

  private void checkRole(ClusterSettings settings) {
    if (settings.role() == ProcessRole.CONTROLLER) {
      findings.require(
          settings.dataFolder().isPresent(), "[process] dataFolder", "is missing for a controller");
      findings.require(settings.controlAddress().isPresent(), "[listen] control", "is missing");
    } else {
      findings.require(settings.callerAddress().isPresent(), "[listen] callers", "is missing");
      findings.require(!settings.seeds().isEmpty(), "[process] seeds", "is missing for a gateway");
    }
  }

  private DispatchTiming timing() {
    return new DispatchTiming(
        number("timing.leaseMillis", 6_000, MAX_MILLIS),
        number("timing.renewWaitMillis", DEFAULT_RENEW_WAIT_MILLIS, MAX_MILLIS),
        number("timing.retryMillis", DEFAULT_RETRY_MILLIS, MAX_MILLIS),
        number("timing.stopRunMillis", 900, MAX_MILLIS),
        number("timing.officeWaitMillis", 3_000, MAX_MILLIS),
        number("timing.maintenanceMillis", 2_000, MAX_MILLIS),
        number("timing.absenceMillis", 4_500, MAX_MILLIS));
  }

  private List<HostPort> seeds() {
    List<HostPort> seeds = new ArrayList<>();
    for (String part : text("process.seeds").split(",")) {
      if (!part.isBlank()) {
        Optional<HostPort> seed = HostPort.parse(part.trim());
        findings.require(
            seed.isPresent(), "[process] seeds", "'" + part + "' is not an IP address and port");
        seed.ifPresent(seeds::add);
      }
    }
    return seeds;
  }

  private Optional<String> address(String key) {
    Optional<String> value = optional(key);
    value.ifPresent(
        text ->
            findings.require(
                HostPort.parse(text).isPresent(),
                key,
                "'" + text + "' is not an IP address and port"));
    return value;
  }

  private String required(String key) {
    findings.require(!text(key).isEmpty(), key, "is missing");
    return text(key);
  }

  private Optional<String> optional(String key) {
    return Optional.of(text(key)).filter(value -> !value.isEmpty());
  }

  private String text(String key) {
    return ini.getString(key, "").trim();
  }

  private long number(String key, long defaultValue, long max) {
    String value = text(key);
    if (value.isEmpty()) {
      return defaultValue;
    }
    try {
      boolean inSeconds = value.endsWith(SECONDS_SUFFIX);
      double millis =
          inSeconds
              ? MILLIS_PER_SECOND * Double.parseDouble(value.substring(0, value.length() - 1))
              : Double.parseDouble(value);
      if (millis >= 0 && millis <= max) {
        return Math.round(millis);
      }
    } catch (NumberFormatException e) {
      findings.add(key, "'" + value + "' is not a number");
      return defaultValue;
    }
    findings.add(key, value + " is not between 0 and " + max);
    return defaultValue;
  }
}
