package org.plantainknot.daemon.controller;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.daemon.settings.HostPort;

/**
 * Decides which process forms a new cluster, and when.
 *
 * <p>All processes are configured with the same seeds. The seed whose address sorts first as text
 * forms the cluster once it is linked with every other seed; all others wait for it. Forming is
 * repeated until this member's log holds the first entry, which is safe because the same disks
 * always form the same cluster.
 */
final class Formation {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final boolean bootstrap;
  private final List<String> seeds;
  private final String self;
  private final Map<String, MemberId> memberByAddress = new HashMap<>();

  /**
   * Creates the formation logic of this process.
   *
   * @param bootstrap whether the cluster starts for the first time
   * @param seeds link addresses of the seeds
   * @param self link address of this process
   */
  Formation(boolean bootstrap, List<HostPort> seeds, HostPort self) {
    this.bootstrap = bootstrap;
    this.seeds = seeds.stream().map(HostPort::toString).sorted().toList();
    this.self = self.toString();
  }

  /** Records the member that is linked at an address. */
  void memberSeen(String address, MemberId member) {
    memberByAddress.put(address, member);
  }

  /** Returns the nodes of the new cluster if this process has to form it now, or empty. */
  Optional<List<String>> nodesToForm(MemberId selfMember) {
    boolean isFounder =
        bootstrap && seeds.stream().min(Comparator.naturalOrder()).filter(self::equals).isPresent();
    if (!isFounder) {
      return Optional.empty();
    }
    List<String> nodes = new ArrayList<>();
    for (String seed : seeds) {
      MemberId member = seed.equals(self) ? selfMember : memberByAddress.get(seed);
      if (member == null) {
        return Optional.empty();
      }
      nodes.add(member.node());
    }
    logger.atInfo().log("cluster-forming founder=%s seeds=%s", selfMember, nodes);
    return Optional.of(nodes);
  }
}
