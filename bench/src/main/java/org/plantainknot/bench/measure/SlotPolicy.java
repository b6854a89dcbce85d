package org.plantainknot.bench.measure;

import java.util.List;
import org.plantainknot.core.share.SlotShares;

/** Ways to share the slots of a target among gateways. */
enum SlotPolicy {
  /** Each gateway has a fixed part of each target's slots; the product's way. */
  STATIC_SHARE {
    @Override
    int share(List<String> gateways, String gateway, long vm, int slots) {
      return SlotShares.share(gateways, gateway, vm, slots);
    }
  },
  /** One gateway owns all slots and grants them to the others, at the cost of a round trip. */
  OWNER {
    @Override
    int share(List<String> gateways, String gateway, long vm, int slots) {
      return gateway.equals(gateways.get(0)) ? slots : 0;
    }
  },
  /** Each gateway sees only its own use and may take all slots. */
  UNCOORDINATED {
    @Override
    int share(List<String> gateways, String gateway, long vm, int slots) {
      return slots;
    }
  };

  abstract int share(List<String> gateways, String gateway, long vm, int slots);

  /** Returns the gateway whose queues a request that arrived at one of them joins. */
  int router(int arrivedAt) {
    return this == OWNER ? 0 : arrivedAt;
  }

  /** Returns the time that the way to the slot and back adds to a request. */
  long addedMillis(long oneWayMillis) {
    return this == OWNER ? 2 * oneWayMillis : 0;
  }
}
