package org.plantainknot.daemon.controller;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.plantainknot.daemon.leader.LeaderClient;
import org.plantainknot.daemon.leader.LeaderView;
import org.plantainknot.daemon.member.MemberLinks;
import org.plantainknot.wire.member.DirectoryProto;
import org.plantainknot.wire.member.FrameProto;

/**
 * Sends the directory to all linked processes: the addresses of the controllers, and whether this
 * one is the leader.
 *
 * <p>Used by the control thread only.
 */
final class LeaderAnnouncer {

  private static final long INTERVAL_MILLIS = 500;

  private final MemberLinks links;
  private final LeaderClient leaderClient;
  private final String self;
  private final Map<String, String> addressByPeer = new HashMap<>();
  private LeaderView announced = LeaderView.NONE;
  private long lastAnnouncedMillis;

  LeaderAnnouncer(MemberLinks links, LeaderClient leaderClient, String self) {
    this.links = links;
    this.leaderClient = leaderClient;
    this.self = self;
  }

  /** Records the link address of another controller. */
  void controllerSeen(String node, String address) {
    addressByPeer.put(node, address);
  }

  /** Returns the nodes of the other controllers seen so far. */
  Set<String> controllers() {
    return addressByPeer.keySet();
  }

  /** Sends the directory immediately if the view has changed, and otherwise at an interval. */
  void announce(LeaderView view, long nowMillis) {
    if (view.equals(announced) && nowMillis - lastAnnouncedMillis < INTERVAL_MILLIS) {
      return;
    }
    announced = view;
    lastAnnouncedMillis = nowMillis;
    if (view.isKnown()) {
      leaderClient.updateLeader(view);
    } else {
      leaderClient.clearLeader(self, view.term());
    }
    FrameProto frame = directoryFrame();
    links.linkStates().keySet().forEach(node -> links.send(node, frame));
  }

  /** Sends the directory to a newly linked node. */
  void sendDirectory(String node) {
    links.send(node, directoryFrame());
  }

  private FrameProto directoryFrame() {
    return FrameProto.newBuilder()
        .setDirectory(
            DirectoryProto.newBuilder()
                .addAllAddresses(addressByPeer.values())
                .setLeader(announced.node())
                .setTerm(announced.term())
                .setLeaderControlAddress(announced.controlAddress()))
        .build();
  }
}
