package org.plantainknot.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.plantainknot.core.error.ErrorCode;
import org.plantainknot.core.error.Findings;
import org.plantainknot.core.error.PlantainknotException;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.PoolState;
import org.plantainknot.core.ticket.Ticket.ServiceState;
import org.plantainknot.core.ticket.Ticket.VmState;
import org.plantainknot.core.ticket.Ticket.Wave;
import org.plantainknot.daemon.control.StateCodec;

/**
 * Reads ticket files.
 *
 * <p>A ticket file is an INI file with the sections {@code [ticket]}, {@code [pool NAME]}, {@code
 * [service NAME]}, {@code [vms]} and {@code [wave POOL]}; see docs/OPERATIONS.md. A file that
 * starts with a brace is read as JSON.
 */
public final class TicketFile {

  private static final String ON_APPROVAL = "on-approval";
  private static final Set<String> TICKET_KEYS = Set.of("number", "start", "note");
  private static final Set<String> SERVICE_KEYS =
      Set.of("pool", "minAvailableVms", "spare", "idempotentMethods");

  private final Findings findings = new Findings();
  private final List<PoolState> pools = new ArrayList<>();
  private final List<ServiceState> services = new ArrayList<>();
  private final List<VmState> vms = new ArrayList<>();
  private final List<Wave> waves = new ArrayList<>();
  private long number;
  private long startMillis;
  private String note = "";

  private TicketFile() {}

  /**
   * Reads a ticket file.
   *
   * @throws PlantainknotException with all findings, if the file is not a valid ticket
   * @throws CtlException if the file can't be read
   */
  public static Ticket read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new CtlException(ExitCode.USAGE, "can't read " + file + ": " + e.getMessage());
    }
  }

  /**
   * Parses the content of a ticket file.
   *
   * @throws PlantainknotException with all findings, if the text is not a valid ticket
   */
  public static Ticket parse(String text) {
    if (text.stripLeading().startsWith("{")) {
      return parseJson(text);
    }
    INIConfiguration ini = new INIConfiguration();
    try (Reader reader = new StringReader(text)) {
      ini.read(reader);
    } catch (IOException | ConfigurationException e) {
      throw new PlantainknotException(
          ErrorCode.INVALID_INPUT, "the ticket is not an INI file: " + e.getMessage());
    }
    return new TicketFile().parse(ini);
  }

  private static Ticket parseJson(String text) {
    try {
      return StateCodec.json().readValue(text, Ticket.class);
    } catch (JsonProcessingException e) {
      throw new PlantainknotException(ErrorCode.INVALID_INPUT, e.getOriginalMessage());
    }
  }

  private Ticket parse(INIConfiguration ini) {
    for (String name : ini.getSections()) {
      if (name == null) {
        findings.require(
            !ini.getSection(null).getKeys().hasNext(), "file", "has keys before the first section");
      } else {
        parseSection(name, ini.getSection(name));
      }
    }
    findings.require(number > 0, "[ticket] number", "is required and must be at least 1");
    findings.throwIfAny("the ticket is invalid");
    return new Ticket(number, startMillis, note, pools, services, vms, waves);
  }

  private void parseSection(String name, SubnodeConfiguration section) {
    String[] parts = name.trim().split("\\s+", 2);
    String itemName = parts.length > 1 ? parts[1] : "";
    switch (parts[0]) {
      case "ticket" -> parseTicket(section);
      case "pool" -> pools.add(new PoolState(itemName));
      case "service" -> parseService(name, itemName, section);
      case "vms" -> parseVms(section);
      case "wave" -> waves.add(new Wave(itemName));
      default ->
          findings.add(
              "[" + name + "]",
              "unknown section; known sections are ticket, pool, service, vms, wave");
    }
  }

  private void parseTicket(SubnodeConfiguration section) {
    checkKeys("ticket", section, TICKET_KEYS);
    number = parseNumber("[ticket] number", section.getString("number", "0"));
    note = section.getString("note", "");
    String start = section.getString("start", ON_APPROVAL);
    if (start.equals(ON_APPROVAL)) {
      startMillis = Ticket.ON_APPROVAL;
      return;
    }
    try {
      startMillis = Instant.parse(start).toEpochMilli();
    } catch (DateTimeException e) {
      findings.add(
          "[ticket] start", "must be " + ON_APPROVAL + " or a time such as 2027-01-31T06:00:00Z");
    }
  }

  private void parseService(String name, String service, SubnodeConfiguration section) {
    checkKeys(name, section, SERVICE_KEYS);
    String place = "[" + name + "] ";
    String methods = section.getString("idempotentMethods", "");
    services.add(
        new ServiceState(
            service,
            section.getString("pool", null),
            (int)
                parseNumber(place + "minAvailableVms", section.getString("minAvailableVms", "-1")),
            parseSpare(place + "spare", section.getString("spare", "rack")),
            methods.isBlank() ? null : Arrays.asList(methods.trim().split("\\s+"))));
  }

  private FailureDomain parseSpare(String place, String value) {
    try {
      return FailureDomain.valueOf(value.trim().toUpperCase(Locale.ROOT).replace('-', '_'));
    } catch (IllegalArgumentException e) {
      findings.add(place, "must be none, vm, rack or data-center");
      return FailureDomain.RACK;
    }
  }

  private void parseVms(SubnodeConfiguration section) {
    Iterator<String> keys = section.getKeys();
    while (keys.hasNext()) {
      String key = keys.next();
      for (Object pool : section.getList(key)) {
        vms.add(new VmState(key.replace("..", "."), String.valueOf(pool).trim()));
      }
    }
  }

  private void checkKeys(String name, SubnodeConfiguration section, Set<String> knownKeys) {
    Iterator<String> keys = section.getKeys();
    while (keys.hasNext()) {
      String key = keys.next();
      findings.require(
          knownKeys.contains(key),
          "[" + name + "] " + key,
          "unknown key; known keys are " + knownKeys);
    }
  }

  private long parseNumber(String place, String value) {
    try {
      return Long.parseLong(value.trim());
    } catch (NumberFormatException e) {
      findings.add(place, "'" + value + "' is not a whole number");
      return 0;
    }
  }
}
