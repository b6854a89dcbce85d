package org.plantainknot.daemon.target;

import org.plantainknot.core.error.Findings;
import org.plantainknot.core.fleet.Announcement;

/**
 * Request body with which a target announces itself.
 *
 * @param vm name of the VM
 * @param instance identifier of the running instance of the target; a restart changes it
 * @param host IP address that the target listens on
 * @param port port that the target listens on
 * @param dataCenter data centre of the VM
 * @param rack rack of the VM
 * @param slots number of requests that the target runs concurrently
 * @param connections number of connections that the target accepts
 */
public record AnnouncementBody(
    String vm,
    String instance,
    String host,
    int port,
    String dataCenter,
    String rack,
    int slots,
    int connections) {

  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
  private static final int MAX_SLOTS = 10_000;

  /**
   * Returns the validated announcement.
   *
   * @throws org.plantainknot.core.error.PlantainknotException with all findings, if a value is
   *     invalid
   */
  public Announcement validate() {
    Findings findings = new Findings();
    checkName(findings, "vm", vm);
    checkName(findings, "instance", instance);
    checkName(findings, "dataCenter", dataCenter);
    checkName(findings, "rack", rack);
    findings.require(
        host != null && host.matches("[0-9a-fA-F.:]+"), "host", "must be an IP address");
    findings.require(port >= 1 && port <= 65_535, "port", "must be from 1 to 65535");
    findings.require(slots >= 1 && slots <= MAX_SLOTS, "slots", "must be from 1 to " + MAX_SLOTS);
    findings.require(connections >= slots, "connections", "must be at least as many as slots");
    findings.throwIfAny("the announcement can't be used");
    return new Announcement(instance, host, port, dataCenter, rack, slots, connections);
  }

  private static void checkName(Findings findings, String place, String name) {
    findings.require(
        name != null && name.matches(NAME_PATTERN),
        place,
        "must be letters, digits, dots, dashes or underscores, at most 63");
  }
}
