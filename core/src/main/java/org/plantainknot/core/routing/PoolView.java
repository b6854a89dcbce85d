package org.plantainknot.core.routing;

import java.util.List;

/**
 * View of a pool for reports.
 *
 * @param waiting number of requests that wait
 * @param targets state of each target
 */
public record PoolView(int waiting, List<TargetView> targets) {

  /**
   * View of a target.
   *
   * @param vm name of the VM
   * @param share slots that this gateway may use
   * @param inUse slots that it uses
   * @param ejected whether the target is kept without work for its failures
   */
  public record TargetView(String vm, int share, int inUse, boolean ejected) {}
}
