package org.plantainknot.daemon.control;

import java.util.function.BiConsumer;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.lease.GatewayLease;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.wire.member.FrameProto;
import org.plantainknot.wire.member.LeaseReplyProto;
import org.plantainknot.wire.member.LeaseRequestProto;
import org.plantainknot.wire.member.SightingProto;

/** Renews the lease of this gateway with the leader. Used by the control thread only. */
final class LeaseClient {

  private final DaemonSettings settings;
  private final String process;
  private final ControlState state;
  private final BiConsumer<String, FrameProto> sender;
  private final GatewayLease lease = new GatewayLease();
  private StateListener listener;
  private boolean stopping;
  private long askedAtMillis;
  private String askedNode = "";

  /** Creates a client whose frames go to the node that is named with them. */
  LeaseClient(
      DaemonSettings settings,
      String process,
      ControlState state,
      BiConsumer<String, FrameProto> sender) {
    this.settings = settings;
    this.process = process;
    this.state = state;
    this.sender = sender;
  }

  GatewayLease lease() {
    return lease;
  }

  void start(StateListener stateListener) {
    listener = stateListener;
  }

  void stop() {
    stopping = true;
  }

  /** Asks the leader if a renewal is due, if there is a new leader, or at once. */
  void ask(MemberId leader, long nowMillis, boolean atOnce) {
    if (leader == null || listener == null) {
      return;
    }
    boolean newLeader = !leader.node().equals(askedNode);
    boolean due = nowMillis - askedAtMillis >= settings.leaseTiming().renewMillis();
    if (newLeader || due || atOnce) {
      askedAtMillis = nowMillis;
      askedNode = leader.node();
      FrameProto.Builder frame = FrameProto.newBuilder().setLeaseRequest(request(nowMillis));
      sender.accept(leader.node(), frame.build());
    }
  }

  void replied(LeaseReplyProto reply) {
    lease.granted(reply.getSequence(), reply.getLeaseMillis(), reply.getCommitIndex());
  }

  private LeaseRequestProto request(long nowMillis) {
    GatewayReport report = listener.report();
    LeaseRequestProto.Builder request =
        LeaseRequestProto.newBuilder()
            .setSequence(lease.request(nowMillis))
            .setProcess(process)
            .setAppliedIndex(state.appliedIndex())
            .setSharesVersion(report.settled() ? state.gateways().version() : 0)
            .addAllBusyVms(report.busyVms())
            .setStopping(stopping);
    report
        .instanceByVm()
        .forEach(
            (vm, instance) ->
                request.addSightings(SightingProto.newBuilder().setVm(vm).setInstance(instance)));
    return request.build();
  }
}
