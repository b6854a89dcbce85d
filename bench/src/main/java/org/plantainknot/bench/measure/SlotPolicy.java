package org.plantainknot.bench.measure;

import java.util.List;
import org.plantainknot.core.share.SlotShares;

/** Policies for sharing the slots of a target among gateways. */
enum SlotPolicy {
  /** Each gateway has a fixed share of the slots of each target, as in production. */
  STATIC_SHARE {
    @Override
    int share(List<String> gateways, String gateway, long vm, int slots) {
      return SlotShares.share(gateways, gateway, vm, slots);
    }
  },
  /** One gateway owns all slots and grants them to the others, which costs a round trip. */
  OWNER {
    @Override
    int share(List<String> gateways, String gateway, long vm, int slots) {
      return gateway.equals(gateways.get(0)) ? slots : 0;
    }
  },
  /** Each gateway counts only its own requests and may use all slots. */
  UNCOORDINATED {
    @Override
    int share(List<String> gateways, String gateway, long vm, int slots) {
      return slots;
    }
  };

  abstract int share(List<String> gateways, String gateway, long vm, int slots);

  /** Returns the index of the gateway that queues a request, given the gateway that received it. */
  int queueingGateway(int receivingGateway) {
    return this == OWNER ? 0 : receivingGateway;
  }

  /** Returns the time that obtaining a slot adds to a request. */
  long addedMillis(long oneWayMillis) {
    return this == OWNER ? 2 * oneWayMillis : 0;
  }
}
