package org.plantainknot.core.share;

import java.util.List;

/**
 * Splits the slots of a target among gateways, so that the shares add up to the number of slots.
 */
public final class SlotShares {

  private SlotShares() {}

  /**
   * Returns the number of slots of a target that a gateway may use.
   *
   * <p>Slots are assigned round-robin, and each target starts with the gateway after the last one
   * of the target before it, which spreads the remainders of a pool's targets over the gateways.
   *
   * @param gateways all gateways, sorted
   * @param gateway gateway whose share is returned
   * @param vmOrdinal ordinal of the target's VM
   * @param slots number of slots of the target
   */
  public static int share(List<String> gateways, String gateway, long vmOrdinal, int slots) {
    int position = gateways.indexOf(gateway);
    if (position < 0) {
      return 0;
    }
    int count = gateways.size();
    int first = Math.floorMod(vmOrdinal * slots, count);
    int distance = Math.floorMod(position - first, count);
    return distance >= slots ? 0 : (slots - distance - 1) / count + 1;
  }
}
