package org.plantainknot.core.routing;

import org.plantainknot.core.fleet.Announcement;

/**
 * A VM that a gateway may give work to.
 *
 * @param name name of the VM
 * @param announcement what the target last said
 * @param share number of its slots that this gateway may use
 */
public record RoutableVm(String name, Announcement announcement, int share) {

  /** Returns a key that changes when the target restarts. */
  public String key() {
    return name + "/" + announcement.instance();
  }
}
