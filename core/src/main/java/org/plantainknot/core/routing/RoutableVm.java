package org.plantainknot.core.routing;

import org.plantainknot.core.fleet.Announcement;

/**
 * A VM that a gateway may send requests to.
 *
 * @param name name of the VM
 * @param announcement latest announcement of the target
 * @param share number of slots of the target that this gateway may use
 */
public record RoutableVm(String name, Announcement announcement, int share) {

  /** Returns a key that changes when the target restarts. */
  public String key() {
    return name + "/" + announcement.instance();
  }
}
