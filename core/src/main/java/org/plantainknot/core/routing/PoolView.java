package org.plantainknot.core.routing;

import java.util.List;

/**
 * View of a pool for status reports.
 *
 * @param waiting number of waiting requests
 * @param targets state of each target
 */
public record PoolView(int waiting, List<TargetView> targets) {

  /**
   * View of a target.
   *
   * @param vm name of the VM
   * @param share number of slots that this gateway may use
   * @param inUse number of slots that this gateway uses
   * @param ejected whether the target gets no requests because of its failures
   */
  public record TargetView(String vm, int share, int inUse, boolean ejected) {}
}
