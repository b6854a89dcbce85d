package org.plantainknot.daemon.leader;

import org.plantainknot.core.replica.MemberId;
import org.plantainknot.daemon.member.MemberLinks;
import org.plantainknot.daemon.settings.HostPort;
import org.plantainknot.wire.member.DirectoryProto;

/** Applies the controllers' announcements of their addresses and of the leader. */
public final class DirectoryUpdater {

  private DirectoryUpdater() {}

  /**
   * Adds the announced addresses to the links and updates the client's leader.
   *
   * @param sender controller that sent the announcement
   * @param proto the announcement
   * @param links links to open to the announced addresses
   * @param leaderClient client that keeps the known leader
   */
  public static void apply(
      MemberId sender, DirectoryProto proto, MemberLinks links, LeaderClient leaderClient) {
    proto
        .getAddressesList()
        .forEach(address -> HostPort.parse(address).ifPresent(links::addAddress));
    if (proto.getLeader().isEmpty()) {
      leaderClient.clearLeader(sender.node(), proto.getTerm());
    } else {
      leaderClient.updateLeader(
          new LeaderView(proto.getLeader(), proto.getTerm(), proto.getLeaderControlAddress()));
    }
  }
}
