package org.plantainknot.core.share;

import java.util.List;

/** Splits the slots of a target among gateways, such that the parts add up to the whole. */
public final class SlotShares {

  private SlotShares() {}

  /**
   * Returns the number of slots of a target that a gateway may use.
   *
   * <p>Slots go round the gateways in turn, and each target starts where the one before it ended,
   * so that the remainders are spread over a pool.
   *
   * @param gateways all gateways, sorted
   * @param gateway the gateway
   * @param vmOrdinal ordinal of the target's VM
   * @param slots slots of the target
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
