package org.plantainknot.daemon.settings;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.Findings;
import org.plantainknot.core.error.PlantainknotException;

/** Reads a settings file, checks it completely and reports all findings together. */
public final class SettingsReader {

  private static final String MEMBERS = "members";
  private static final String OPERATORS = "operators";
  private static final int MIN_TOKEN_LENGTH = 16;

  private static final Map<String, SettingKey> KEYS =
      Arrays.stream(SettingKey.values())
          .collect(Collectors.toMap(k -> k.section() + "." + k.key(), Function.identity()));

  private final Findings findings = new Findings();
  private final DaemonSettings.Builder builder = DaemonSettings.builder();

  private SettingsReader() {}

  /**
   * Reads a settings file.
   *
   * @throws PlantainknotException with all findings, if the settings are invalid
   */
  public static DaemonSettings read(Path file) {
    return new SettingsReader().read(load(file));
  }

  static INIConfiguration load(Path file) {
    INIConfiguration ini = new INIConfiguration();
    ini.setSeparatorUsedInOutput(" = ");
    try (Reader reader = Files.newBufferedReader(file)) {
      ini.read(reader);
    } catch (IOException | ConfigurationException e) {
      throw new PlantainknotException(
          ErrorCode.INVALID_INPUT, "can't read settings file " + file + ": " + e.getMessage());
    }
    return ini;
  }

  private DaemonSettings read(INIConfiguration ini) {
    Set<String> sections =
        Arrays.stream(SettingKey.values()).map(SettingKey::section).collect(Collectors.toSet());
    for (String name : ini.getSections()) {
      SubnodeConfiguration section = ini.getSection(name);
      if (MEMBERS.equals(name)) {
        forEachEntry(section, this::readMember);
      } else if (OPERATORS.equals(name)) {
        forEachEntry(section, this::readOperator);
      } else if (name != null && sections.contains(name)) {
        forEachEntry(section, (key, value) -> readKey(name, key, value));
      } else if (name != null || section.getKeys().hasNext()) {
        findings.add("[" + name + "]", "unknown section; known sections are " + sections);
      }
    }
    requireKeys(ini);
    DaemonSettings settings = builder.build();
    checkMembers(settings);
    checkTls(settings);
    findings.throwIfAny("settings are invalid");
    return settings;
  }

  private interface EntryReader {
    void read(String key, String value);
  }

  private static void forEachEntry(SubnodeConfiguration section, EntryReader reader) {
    Iterator<String> keys = section.getKeys();
    while (keys.hasNext()) {
      String key = keys.next();
      reader.read(key.replace("..", "."), section.getString(key, "").trim());
    }
  }

  private void readKey(String section, String key, String value) {
    String place = "[" + section + "] " + key;
    SettingKey known = KEYS.get(section + "." + key);
    if (known == null) {
      findings.add(place, "unknown key");
    } else if (!known.allows(value)) {
      findings.add(place, "'" + value + "' is not allowed; " + known.allowedValues() + " is");
    } else {
      builder.value(known, value);
    }
  }

  private void readMember(String node, String value) {
    String place = "[members] " + node;
    findings.require(ValueKind.NAME.allows(node, 0, 0), place, "is not a valid node name");
    Optional<HostPort> address = HostPort.parse(value);
    if (address.isPresent()) {
      builder.member(node, address.get());
    } else {
      findings.add(place, "'" + value + "' is not an IP address, a colon and a port");
    }
  }

  private void readOperator(String operator, String value) {
    String place = "[operators] " + operator;
    String[] parts = value.split("\\s+", 2);
    Optional<OperatorRole> role = roleOf(parts[0]);
    if (role.isEmpty() || parts.length < 2 || parts[1].length() < MIN_TOKEN_LENGTH) {
      findings.add(
          place,
          "must be view, file or approve, a space, and a token of at least "
              + MIN_TOKEN_LENGTH
              + " characters");
    } else {
      builder.operator(new OperatorToken(operator, role.get(), parts[1]));
    }
  }

  private static Optional<OperatorRole> roleOf(String name) {
    return Arrays.stream(OperatorRole.values())
        .filter(role -> role.name().toLowerCase(Locale.ROOT).equals(name))
        .findFirst();
  }

  private void requireKeys(INIConfiguration ini) {
    for (SettingKey key : SettingKey.values()) {
      boolean given = ini.getSection(key.section()).containsKey(key.key());
      findings.require(
          given || key.defaultValue() != null,
          "[" + key.section() + "] " + key.key(),
          "is missing; " + key.allowedValues() + " is allowed");
    }
  }

  private void checkTls(DaemonSettings settings) {
    boolean enabled = !settings.text(SettingKey.TLS_KEY_STORE).isEmpty();
    for (SettingKey key : List.of(SettingKey.TLS_TRUST_STORE, SettingKey.TLS_PASSWORD)) {
      findings.require(
          enabled != settings.text(key).isEmpty(),
          "[tls] " + key.key(),
          "must be given together with keyStore, or not at all");
    }
  }

  private void checkMembers(DaemonSettings settings) {
    String node = settings.text(SettingKey.NODE_NAME);
    findings.require(
        node == null || settings.members().containsKey(node),
        "[members]",
        "must have an entry for each node, this one included");
    findings.require(
        !settings.operators().isEmpty(), "[operators]", "must name at least one operator");
  }
}
