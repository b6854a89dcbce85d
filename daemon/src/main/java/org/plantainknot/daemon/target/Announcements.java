package org.plantainknot.daemon.target;

import io.smallrye.mutiny.Uni;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.control.Result;
import org.plantainknot.core.fleet.Announcement;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.daemon.control.ControlNode;

/**
 * Announcements of the targets at this gateway.
 *
 * <p>One that says something new goes into the log. A mere renewal is passed to the leader with the
 * next request for a lease.
 */
public final class Announcements {

  private static final long SUBMIT_MILLIS = 2_000;

  private final ControlNode node;
  private final Map<String, String> renewed = new ConcurrentHashMap<>();
  private volatile Map<String, Announcement> known = Map.of();

  /** Creates the intake of a gateway. */
  public Announcements(ControlNode node) {
    this.node = node;
  }

  /** Takes an announcement. */
  public Uni<Result> announce(AnnouncementBody body) {
    Announcement announcement = body.checked();
    renewed.put(body.vm(), announcement.instance());
    if (announcement.equals(known.get(body.vm()))) {
      return Uni.createFrom().item(Result.accepted("VM " + body.vm() + " is known"));
    }
    return node.submit(new Command.Announce(body.vm(), announcement), SUBMIT_MILLIS);
  }

  /** Follows the replicated state. */
  public void onFleetChanged(ControlState state) {
    Map<String, Announcement> announced = new HashMap<>();
    for (Vm vm : state.fleet().vms()) {
      if (vm.announcement() != null) {
        announced.put(vm.name(), vm.announcement());
      }
    }
    known = Map.copyOf(announced);
  }

  /** Returns the instances that were renewed since the last call, by VM. */
  public Map<String, String> takeRenewed() {
    Map<String, String> taken = new HashMap<>(renewed);
    taken.forEach(renewed::remove);
    return taken;
  }
}
