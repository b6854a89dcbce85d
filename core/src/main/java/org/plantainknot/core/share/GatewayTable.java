package org.plantainknot.core.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Gateway processes that are alive, and the division of slots among them.
 *
 * <p>A change of the division takes two steps. First the next division is announced, and each
 * gateway uses no more than the smaller of its present and its next share. Once all have come down
 * to that, and those left out can't have a request in progress, the next division becomes the
 * present one. So at no time do the gateways together use more slots than a target has.
 */
public final class GatewayTable {

  /**
   * Copy of a table, for snapshots.
   *
   * @param processByNode process of each live gateway, by node
   * @param present gateway processes among which the slots are divided
   * @param next division that is about to follow, or null
   * @param version number of the next or, without one, of the present division
   * @param losses number of processes that were lost with requests that may still run
   */
  public record Image(
      SortedMap<String, String> processByNode,
      List<String> present,
      List<String> next,
      long version,
      long losses) {}

  private final SortedMap<String, String> processByNode = new TreeMap<>();
  private List<String> present = List.of();
  private List<String> next;
  private long version;
  private long losses;

  /** Returns the live gateway processes. */
  public Collection<String> live() {
    return List.copyOf(processByNode.values());
  }

  /** Returns the live process of a node, if there is one. */
  public Optional<String> processOf(String node) {
    return Optional.ofNullable(processByNode.get(node));
  }

  /** Returns whether the gateway process is alive. */
  public boolean isLive(String process) {
    return processByNode.containsValue(process);
  }

  /** Returns the processes among which the slots are divided now. */
  public List<String> present() {
    return present;
  }

  /** Returns the number of the division that is to be settled, or of the settled one. */
  public long version() {
    return version;
  }

  /** Returns whether a change of the division is under way. */
  public boolean isChanging() {
    return next != null;
  }

  /** Returns the processes that lose their whole share with the change under way. */
  public List<String> leaving() {
    if (next == null) {
      return List.of();
    }
    List<String> leaving = new ArrayList<>(present);
    leaving.removeAll(next);
    return leaving;
  }

  /** Returns the number of slots of a target that the process may use now. */
  public int share(String process, long vmOrdinal, int slots) {
    int now = SlotShares.share(present, process, vmOrdinal, slots);
    return next == null ? now : Math.min(now, SlotShares.share(next, process, vmOrdinal, slots));
  }

  /** Notes a gateway process; an earlier one of the same node is gone with that. */
  public void up(String node, String process) {
    String earlier = processByNode.put(node, process);
    if (!process.equals(earlier)) {
      losses += earlier == null ? 0 : 1;
      planNext();
    }
  }

  /** Notes that a gateway process is gone; a quiet one had no request in progress. */
  public void down(String node, String process, boolean quiet) {
    if (processByNode.remove(node, process)) {
      losses += quiet ? 0 : 1;
      planNext();
    }
  }

  /** Returns how many processes were lost with requests that may still run. */
  public long losses() {
    return losses;
  }

  /** Makes the next division the present one, if it is still the one that was settled. */
  public boolean settle(long settledVersion) {
    if (next == null || settledVersion != version) {
      return false;
    }
    present = next;
    next = null;
    return true;
  }

  /** Returns a copy for a snapshot. */
  public Image image() {
    return new Image(new TreeMap<>(processByNode), present, next, version, losses);
  }

  /** Replaces the content by that of a snapshot. */
  public void restore(Image image) {
    processByNode.clear();
    processByNode.putAll(image.processByNode());
    present = List.copyOf(image.present());
    next = image.next() == null ? null : List.copyOf(image.next());
    version = image.version();
    losses = image.losses();
  }

  private void planNext() {
    next = processByNode.values().stream().sorted().toList();
    version++;
  }
}
