package org.plantainknot.core.replica;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/** Simulated network on which messages are lost, duplicated, delayed, reordered and blocked. */
final class FakeNetwork {

  /** Message on its way; the message is one of {@link Message} or of the leases. */
  record Packet(MemberId sender, MemberId receiver, Object message) {}

  private final List<Packet> inFlight = new ArrayList<>();
  private final List<Packet> delayed = new ArrayList<>();
  private final Set<String> blockedLinks = new HashSet<>();

  /** Sends a packet; it is lost if the link is blocked. */
  void send(Packet packet) {
    if (!blockedLinks.contains(packet.sender().node() + packet.receiver().node())) {
      inFlight.add(packet);
    }
  }

  int inFlightCount() {
    return inFlight.size();
  }

  /** Returns a packet that arrives, if any is in flight; a duplicated one stays in flight. */
  Optional<Packet> take(int argument, boolean duplicate) {
    if (inFlight.isEmpty()) {
      return Optional.empty();
    }
    int index = argument % inFlight.size();
    return Optional.of(duplicate ? inFlight.get(index) : inFlight.remove(index));
  }

  /** Removes and returns the packets in flight that match. */
  List<Packet> remove(Predicate<Packet> matches) {
    List<Packet> removed = inFlight.stream().filter(matches).toList();
    inFlight.removeAll(removed);
    return removed;
  }

  void dropOrDelay(int argument) {
    if (inFlight.isEmpty()) {
      return;
    }
    Packet packet = inFlight.remove(argument % inFlight.size());
    if (argument % 4 != 0) {
      delayed.add(packet);
    }
  }

  void requeueDelayed(int argument) {
    if (!delayed.isEmpty()) {
      inFlight.add(delayed.remove(argument % delayed.size()));
    }
  }

  /** Blocks the link from one node to another. */
  void block(FakeNode sender, FakeNode receiver) {
    blockedLinks.add(sender.member().node() + receiver.member().node());
  }

  void blockBothWays(FakeNode node, FakeNode other) {
    block(node, other);
    block(other, node);
  }

  /** Unblocks all links. */
  void heal() {
    blockedLinks.clear();
  }
}
