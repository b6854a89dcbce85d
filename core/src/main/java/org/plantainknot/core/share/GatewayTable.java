package org.plantainknot.core.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Live gateway processes, and the division of each target's slots among them.
 *
 * <p>A change of the division takes two steps. First the next division is published, and each
 * gateway uses no more than the smaller of its present and its next share. Once all live gateways
 * comply, and the processes that the next division leaves out can have no request in progress, the
 * next division becomes the present one. So the gateways together never use more slots than a
 * target has.
 */
public final class GatewayTable {

  /**
   * Copy of a table, for snapshots.
   *
   * @param processByNode process of each live gateway, by node
   * @param present gateway processes among which the slots are divided
   * @param next division that is to replace the present one, or null
   * @param version version of the next division or, if there is none, of the present one
   * @param losses number of processes lost while requests of theirs may still have been running
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

  /** Returns the version of the next division or, if there is none, of the present one. */
  public long version() {
    return version;
  }

  /** Returns whether a change of the division is in progress. */
  public boolean isChanging() {
    return next != null;
  }

  /** Returns the processes of the present division that the next one leaves out. */
  public List<String> leaving() {
    if (next == null) {
      return List.of();
    }
    List<String> leaving = new ArrayList<>(present);
    leaving.removeAll(next);
    return leaving;
  }

  /** Returns the number of slots of a target that the process may use at present. */
  public int share(String process, long vmOrdinal, int slots) {
    int presentShare = SlotShares.share(present, process, vmOrdinal, slots);
    return next == null
        ? presentShare
        : Math.min(presentShare, SlotShares.share(next, process, vmOrdinal, slots));
  }

  /** Adds a gateway process, which replaces any earlier process of the same node. */
  public void up(String node, String process) {
    String previous = processByNode.put(node, process);
    if (!process.equals(previous)) {
      losses += previous == null ? 0 : 1;
      planNext();
    }
  }

  /**
   * Removes a gateway process.
   *
   * @param quiet whether the process had no request in progress
   */
  public void down(String node, String process, boolean quiet) {
    if (processByNode.remove(node, process)) {
      losses += quiet ? 0 : 1;
      planNext();
    }
  }

  /** Returns the number of processes lost while requests of theirs may still have been running. */
  public long losses() {
    return losses;
  }

  /**
   * Makes the next division the present one, or returns false if the version is not that of the
   * next division.
   */
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

  /** Replaces the content with that of a snapshot. */
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
