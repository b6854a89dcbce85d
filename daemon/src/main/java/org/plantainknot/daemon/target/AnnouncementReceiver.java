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
 * Receives the announcements of targets at this gateway.
 *
 * <p>A new or changed announcement is written to the replicated log. An unchanged one is a renewal,
 * which is reported to the leader with the next lease request.
 */
public final class AnnouncementReceiver {

  private static final long SUBMIT_TIMEOUT_MILLIS = 2_000;

  private final ControlNode node;
  private final Map<String, String> renewedInstanceByVm = new ConcurrentHashMap<>();
  private volatile Map<String, Announcement> announcementByVm = Map.of();

  /** Creates the receiver of a gateway. */
  public AnnouncementReceiver(ControlNode node) {
    this.node = node;
  }

  /** Validates and processes an announcement. */
  public Uni<Result> receive(AnnouncementBody body) {
    Announcement announcement = body.validate();
    renewedInstanceByVm.put(body.vm(), announcement.instance());
    if (announcement.equals(announcementByVm.get(body.vm()))) {
      return Uni.createFrom().item(Result.accepted("VM " + body.vm() + " is known"));
    }
    return node.submit(new Command.Announce(body.vm(), announcement), SUBMIT_TIMEOUT_MILLIS);
  }

  /** Updates the announcements known from the replicated state. */
  public void onFleetChanged(ControlState state) {
    Map<String, Announcement> announced = new HashMap<>();
    for (Vm vm : state.fleet().vms()) {
      if (vm.announcement() != null) {
        announced.put(vm.name(), vm.announcement());
      }
    }
    announcementByVm = Map.copyOf(announced);
  }

  /** Returns the instances whose announcements were renewed since the last call, by VM. */
  public Map<String, String> drainRenewed() {
    Map<String, String> drained = new HashMap<>(renewedInstanceByVm);
    drained.forEach(renewedInstanceByVm::remove);
    return drained;
  }
}
