package org.plantainknot.core.replica;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.plantainknot.core.lease.LeaseRequest;
import org.plantainknot.core.lease.LeaseTable;

/**
 * Members over a network that loses, repeats, reorders and cuts, with an oracle.
 *
 * <p>The oracle: a committed entry never changes, a term has one leader, and once an index is in
 * force nobody who holds a lease is behind it.
 */
final class FakeCluster {

  static final ReplicaTiming TIMING = new ReplicaTiming(50, 300, 600);

  private static final String IN_FORCE = "in force ";

  private record Post(MemberId sender, MemberId receiver, Object message) {}

  private record Grant(LeaseRequest request, long commitIndex) {}

  private final Fault fault;
  private final int voters;
  private final List<FakeNode> nodes = new ArrayList<>();
  private final List<Post> posts = new ArrayList<>();
  private final List<Post> delayed = new ArrayList<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final Set<String> lostDisks = new HashSet<>();
  private final Map<Long, String> committed = new HashMap<>();
  private final Map<Long, MemberId> leaderByTerm = new HashMap<>();
  private long nowMillis = 10_000;
  private long proposals;
  private long inForceIndex;

  FakeCluster(int voters, Fault fault) {
    this.voters = voters;
    this.fault = fault;
    for (int i = 0; i <= voters; i++) {
      nodes.add(new FakeNode(this, "n" + i, i == voters));
    }
    nodes.forEach(node -> node.start(nowMillis));
    SortedMap<String, String> members = new TreeMap<>();
    nodes.stream()
        .filter(FakeNode::isVoter)
        .forEach(n -> members.put(n.member().node(), n.member().incarnation()));
    Membership membership = new Membership("test", members);
    nodes.stream().filter(FakeNode::isVoter).forEach(n -> n.replica().form(membership));
    nodes.forEach(FakeNode::drain);
    nodes.forEach(FakeNode::sync);
    introduceAll();
  }

  Fault fault() {
    return fault;
  }

  long nowMillis() {
    return nowMillis;
  }

  int committedCount() {
    return committed.size();
  }

  /** Carries out the action that a number stands for. */
  void act(int number) {
    int action = Math.floorMod(number, 1_000);
    int argument = Math.floorMod(number / 1_000, 1 << 20);
    FakeNode node = nodes.get(argument % nodes.size());
    if (action < 450) {
      deliverSome(argument);
    } else if (action < 600) {
      pass(1 + argument % 40);
    } else if (action < 700) {
      ifUp(node, FakeNode::sync);
    } else if (action < 750) {
      nodes.forEach(n -> ifUp(n, FakeNode::sync));
    } else if (action < 810) {
      nodes.forEach(n -> ifUp(n, this::propose));
    } else if (action < 870) {
      ifUp(node, this::askForLease);
    } else {
      disturb(action, argument, node);
    }
    grantLeases();
  }

  private void disturb(int action, int argument, FakeNode node) {
    if (action < 876) {
      deliver(argument, true);
    } else if (action < 883) {
      releaseDelayed(argument);
    } else if (action < 900) {
      dropOrDelay(argument);
    } else if (action < 906) {
      ifUp(node, n -> n.crash(argument % 3));
    } else if (action < 909) {
      cutPower(argument);
    } else if (action < 935) {
      restart(node);
    } else if (action < 942) {
      cut(node, argument);
    } else if (action < 948) {
      cutLinks.clear();
    } else if (action < 955) {
      ifUp(node, FakeNode::compact);
    } else if (action < 960) {
      loseDisk(node);
    } else if (action < 970) {
      nodes.forEach(n -> ifUp(n, this::replaceLost));
    } else {
      nodes.forEach(n -> ifUp(n, this::reportInForce));
    }
  }

  /** Ends all faults, and checks that the cluster comes to commit again. */
  void settle() {
    cutLinks.clear();
    for (int i = 0; i < 400; i++) {
      nodes.forEach(this::restart);
      for (int k = posts.size(); k > 0; k--) {
        deliver(0, false);
      }
      nodes.forEach(FakeNode::sync);
      pass(20);
      nodes.forEach(this::replaceLost);
    }
    long before = proposals;
    nodes.forEach(this::propose);
    for (int i = 0; i < 20; i++) {
      for (int k = posts.size(); k > 0; k--) {
        deliver(0, false);
      }
      nodes.forEach(FakeNode::sync);
      pass(20);
    }
    require(proposals > before, "no leader after all faults have ended: " + describe());
    long applied = nodes.get(0).appliedIndex();
    require(
        applied == committed.size(),
        applied
            + " applied of "
            + committed.size()
            + " after all faults have ended: "
            + describe());
    nodes.forEach(n -> require(n.appliedIndex() == applied, n.member() + " is behind"));
  }

  void post(MemberId sender, MemberId receiver, Object message) {
    if (!cutLinks.contains(sender.node() + receiver.node())) {
      posts.add(new Post(sender, receiver, message));
    }
  }

  void committed(MemberId member, Entry entry) {
    String content = entry.hasCommand() ? text(entry) : String.valueOf(entry.membership());
    String known = committed.putIfAbsent(entry.index(), content);
    require(known == null || known.equals(content), "entry " + entry.index() + " has changed");
    if (known == null && content.startsWith(IN_FORCE)) {
      inForceIndex = Math.max(inForceIndex, Long.parseLong(content.substring(IN_FORCE.length())));
    }
    if (known == null && entry.membership() != null) {
      lostDisks.removeIf(node -> entry.membership().isVoter(named(node).member()));
    }
  }

  void elected(MemberId member, long term) {
    MemberId known = leaderByTerm.putIfAbsent(term, member);
    require(known == null || known.equals(member), "two leaders in term " + term);
  }

  private interface Step {
    void take(FakeNode node);
  }

  private static void ifUp(FakeNode node, Step step) {
    if (node.isUp()) {
      step.take(node);
    }
  }

  private void deliverSome(int argument) {
    for (int i = 0; i < 1 + argument % 8; i++) {
      deliver(argument >> i, false);
    }
  }

  private void deliver(int argument, boolean again) {
    if (posts.isEmpty()) {
      return;
    }
    int index = argument % posts.size();
    Post post = again ? posts.get(index) : posts.remove(index);
    FakeNode receiver = named(post.receiver().node());
    if (!receiver.isUp() || !receiver.member().equals(post.receiver())) {
      return;
    }
    receive(receiver, post);
    receiver.drain();
  }

  private void receive(FakeNode receiver, Post post) {
    if (post.message() instanceof LeaseRequest request) {
      receiver.requested(request, nowMillis);
    } else if (post.message() instanceof Grant grant) {
      granted(receiver, grant);
    } else {
      receiver.replica().receive(post.sender(), (Message) post.message(), nowMillis);
    }
  }

  private void granted(FakeNode receiver, Grant grant) {
    if (!receiver.process().equals(grant.request().process())) {
      return;
    }
    long sequence = grant.request().sequence();
    if (fault == Fault.LEASE_FROM_ARRIVAL) {
      sequence = receiver.lease().request(nowMillis);
    }
    receiver.lease().granted(sequence, FakeNode.LEASES.leaseMillis(), grant.commitIndex());
  }

  private void pass(long millis) {
    nowMillis += millis;
    nodes.forEach(
        n ->
            ifUp(
                n,
                up -> {
                  up.replica().tick(nowMillis);
                  up.drain();
                }));
    checkLeases();
  }

  private void checkLeases() {
    for (FakeNode node : nodes) {
      boolean stale =
          node.isUp() && node.lease().isHeld(nowMillis) && node.appliedIndex() < inForceIndex;
      require(!stale, node.member() + " holds a lease behind index " + inForceIndex);
    }
  }

  private void propose(FakeNode node) {
    byte[] command = ("command " + (proposals + 1)).getBytes(StandardCharsets.UTF_8);
    if (node.replica().propose(command).isPresent()) {
      proposals++;
      node.replica().flush(nowMillis);
      node.drain();
    }
  }

  private void askForLease(FakeNode node) {
    MemberId leader = node.replica().status().leader();
    if (leader != null) {
      LeaseRequest request = node.request(nowMillis);
      if (leader.equals(node.member())) {
        node.requested(request, nowMillis);
        node.drain();
      } else {
        post(node.member(), leader, request);
      }
    }
  }

  private void grantLeases() {
    for (FakeNode leader : nodes) {
      if (!leader.isUp()) {
        continue;
      }
      long commitIndex = leader.replica().status().commitIndex();
      for (LeaseRequest request : leader.grants(nowMillis)) {
        FakeNode holder = named(request.node());
        Grant grant = new Grant(request, commitIndex);
        if (holder == leader) {
          granted(leader, grant);
        } else {
          post(leader.member(), holder.member(), grant);
        }
      }
    }
  }

  /**
   * A leader says through the log which index all have applied whose leases may not have run out.
   */
  private void reportInForce(FakeNode node) {
    LeaseTable table = node.office().orElse(null);
    if (table == null) {
      return;
    }
    long index =
        nodes.stream()
            .map(FakeNode::process)
            .filter(process -> !table.isLapsed(process, nowMillis))
            .mapToLong(p -> table.latest(p).map(LeaseRequest::appliedIndex).orElse(0L))
            .min()
            .orElse(node.replica().status().commitIndex());
    node.replica().propose((IN_FORCE + index).getBytes(StandardCharsets.UTF_8));
    node.replica().flush(nowMillis);
    node.drain();
  }

  private void dropOrDelay(int argument) {
    if (posts.isEmpty()) {
      return;
    }
    Post post = posts.remove(argument % posts.size());
    if (argument % 4 != 0) {
      delayed.add(post);
    }
  }

  private void releaseDelayed(int argument) {
    if (!delayed.isEmpty()) {
      posts.add(delayed.remove(argument % delayed.size()));
    }
  }

  private void restart(FakeNode node) {
    if (!node.isUp()) {
      node.start(nowMillis);
      introduceAll();
    }
  }

  private void introduceAll() {
    for (FakeNode node : nodes) {
      ifUp(node, up -> nodes.forEach(other -> up.replica().peerSeen(other.member())));
    }
  }

  private void cut(FakeNode node, int argument) {
    FakeNode other = nodes.get(argument / nodes.size() % nodes.size());
    cutLinks.add(node.member().node() + other.member().node());
    if (argument % 2 == 0) {
      for (FakeNode each : nodes) {
        cutLinks.add(node.member().node() + each.member().node());
        cutLinks.add(each.member().node() + node.member().node());
      }
    }
  }

  private void cutPower(int argument) {
    for (int i = 0; i < nodes.size(); i++) {
      int survive = (argument >> i) % 3;
      ifUp(nodes.get(i), n -> n.crash(survive));
    }
    nodes.forEach(this::restart);
  }

  /** Disks are lost while as many as the cluster can bear are still to be replaced. */
  private void loseDisk(FakeNode node) {
    if (node.isUp() && node.isVoter() && lostDisks.size() < (voters - 1) / 2) {
      node.crash(0);
      node.emptyDisk(fault == Fault.EMPTY_DISK_VOTES_AT_ONCE);
      if (fault != Fault.EMPTY_DISK_VOTES_AT_ONCE) {
        lostDisks.add(node.member().node());
      }
    }
  }

  private void replaceLost(FakeNode leader) {
    Membership membership = leader.replica().status().membership();
    if (!leader.replica().status().isLeader()) {
      return;
    }
    for (String lost : List.copyOf(lostDisks)) {
      FakeNode node = named(lost);
      if (node.isUp() && !membership.isVoter(node.member())) {
        leader
            .replica()
            .changeMembership(
                membership.voters().containsKey(lost)
                    ? membership.without(lost)
                    : membership.with(node.member()));
        leader.replica().flush(nowMillis);
        leader.drain();
      }
    }
  }

  private String describe() {
    return nodes.stream().map(n -> n.replica().status() + "\n").toList() + " lost " + lostDisks;
  }

  private FakeNode named(String node) {
    return nodes.stream().filter(n -> n.member().node().equals(node)).findFirst().orElseThrow();
  }

  private static String text(Entry entry) {
    return new String(entry.command(), StandardCharsets.UTF_8);
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }
}
