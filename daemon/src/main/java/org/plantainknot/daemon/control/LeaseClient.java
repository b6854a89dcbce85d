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
  private long lastRequestMillis;
  private String lastRequestNode = "";

  /**
   * Creates a client.
   *
   * @param sender sends a frame to the named node
   */
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

  /**
   * Sends a lease request if a renewal is due or the leader has moved to another node.
   *
   * @param immediately whether to send a request in any case
   */
  void requestLease(MemberId leader, long nowMillis, boolean immediately) {
    if (leader == null || listener == null) {
      return;
    }
    boolean newLeader = !leader.node().equals(lastRequestNode);
    boolean due = nowMillis - lastRequestMillis >= settings.leaseTiming().renewMillis();
    if (newLeader || due || immediately) {
      lastRequestMillis = nowMillis;
      lastRequestNode = leader.node();
      FrameProto.Builder frame = FrameProto.newBuilder().setLeaseRequest(buildRequest(nowMillis));
      sender.accept(leader.node(), frame.build());
    }
  }

  void onReply(LeaseReplyProto reply) {
    lease.granted(reply.getSequence(), reply.getLeaseMillis(), reply.getCommitIndex());
  }

  private LeaseRequestProto buildRequest(long nowMillis) {
    GatewayReport report = listener.report();
    LeaseRequestProto.Builder request =
        LeaseRequestProto.newBuilder()
            .setSequence(lease.request(nowMillis, Clock.wallMillis()))
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
