package org.plantainknot.core.replica;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.plantainknot.core.lease.LeaseRequest;
import org.plantainknot.core.lease.LeaseTable;
import org.plantainknot.core.replica.FakeNetwork.Packet;

/**
 * Members on a simulated network that loses, duplicates, delays and reorders messages and can be
 * partitioned, checked by a {@link LogOracle}.
 */
final class FakeCluster {

  static final ReplicaTiming TIMING = new ReplicaTiming(50, 300, 600);

  private static final int STEP_MILLIS = 20;

  /** Steps within which a leader without a majority steps down and another one is elected. */
  private static final int FAILOVER_STEPS = 60;

  private static final int GRANT_STEPS = 5;

  /** Steps that exceed the lease duration and its margin. */
  private static final int LEASE_STEPS = 20;

  private record Grant(LeaseRequest request, long commitIndex) {}

  private final Fault fault;
  private final int voters;
  private final List<FakeNode> nodes = new ArrayList<>();
  private final FakeNetwork network = new FakeNetwork();
  private final Set<String> lostDisks = new HashSet<>();
  private final LogOracle oracle = new LogOracle();
  private long nowMillis = 10_000;
  private long proposals;

  FakeCluster(int voters, Fault fault) {
    this.voters = voters;
    this.fault = fault;
    for (int i = 0; i <= voters; i++) {
      nodes.add(new FakeNode(this, "n" + i, i == voters));
    }
    nodes.forEach(node -> node.start(nowMillis));
    SortedMap<String, String> initialVoters = new TreeMap<>();
    nodes.stream()
        .filter(FakeNode::isVoter)
        .forEach(n -> initialVoters.put(n.member().node(), n.member().incarnation()));
    Membership membership = new Membership("test", initialVoters);
    nodes.stream().filter(FakeNode::isVoter).forEach(n -> n.replica().form(membership));
    nodes.forEach(FakeNode::drain);
    nodes.forEach(FakeNode::sync);
    registerPeers();
  }

  Fault fault() {
    return fault;
  }

  long nowMillis() {
    return nowMillis;
  }

  int committedCount() {
    return oracle.committedCount();
  }

  /** Performs the action that the number encodes. */
  void perform(int number) {
    int action = Math.floorMod(number, 1_000);
    int argument = Math.floorMod(number / 1_000, 1 << 20);
    FakeNode node = nodes.get(argument % nodes.size());
    if (action < 450) {
      deliverSeveral(argument);
    } else if (action < 600) {
      advanceTime(1 + argument % 40);
    } else if (action < 700) {
      ifRunning(node, FakeNode::sync);
    } else if (action < 750) {
      nodes.forEach(n -> ifRunning(n, FakeNode::sync));
    } else if (action < 810) {
      nodes.forEach(n -> ifRunning(n, this::propose));
    } else if (action < 870) {
      ifRunning(node, this::requestLease);
    } else {
      injectFailure(action, argument, node);
    }
    grantLeases();
  }

  private void injectFailure(int action, int argument, FakeNode node) {
    if (action < 876) {
      deliver(argument, true);
    } else if (action < 883) {
      network.requeueDelayed(argument);
    } else if (action < 900) {
      network.dropOrDelay(argument);
    } else if (action < 906) {
      ifRunning(node, n -> n.crash(argument % 3));
    } else if (action < 909) {
      crashAndRestartAll(argument);
    } else if (action < 935) {
      restart(node);
    } else if (action < 942) {
      partition(node, argument);
    } else if (action < 948) {
      network.heal();
    } else if (action < 955) {
      ifRunning(node, FakeNode::compact);
    } else if (action < 960) {
      loseDisk(node);
    } else if (action < 970) {
      nodes.forEach(n -> ifRunning(n, this::replaceLostDisks));
    } else if (action < 997) {
      nodes.forEach(n -> ifRunning(n, this::proposeInForceIndex));
    } else if (action < 999) {
      requestLeasesOfLeaderThatIsCutOff(argument);
    } else {
      deliverLeaseGrantLate(node);
    }
  }

  /** Cuts a leader and one lease holder off from all others, while the others elect a leader. */
  private void requestLeasesOfLeaderThatIsCutOff(int argument) {
    Optional<FakeNode> leader = runningLeader();
    if (leader.isEmpty()) {
      return;
    }
    FakeNode holder = nodes.get(argument % nodes.size());
    for (FakeNode other : nodes) {
      if (other != leader.get() && other != holder) {
        network.blockBothWays(leader.get(), other);
        network.blockBothWays(holder, other);
      }
    }
    for (int i = 0; i < FAILOVER_STEPS; i++) {
      ifRunning(holder, this::requestLease);
      advanceInForceIndex();
    }
    network.heal();
  }

  /** Delivers a grant after the lease has expired and the index in force has advanced. */
  private void deliverLeaseGrantLate(FakeNode holder) {
    if (runningLeader().isEmpty() || !holder.isRunning()) {
      return;
    }
    requestLease(holder);
    List<Packet> grants = new ArrayList<>();
    for (int i = 0; i < GRANT_STEPS && grants.isEmpty(); i++) {
      deliverAll();
      nodes.forEach(n -> ifRunning(n, FakeNode::sync));
      grantLeases();
      grants.addAll(network.remove(packet -> isGrantFor(holder, packet)));
    }
    nodes.forEach(other -> network.blockBothWays(holder, other));
    for (int i = 0; i < LEASE_STEPS; i++) {
      advanceInForceIndex();
    }
    network.heal();
    grants.forEach(this::deliver);
    oracle.checkLeases(nodes, nowMillis);
  }

  private static boolean isGrantFor(FakeNode holder, Packet packet) {
    return packet.message() instanceof Grant && packet.receiver().equals(holder.member());
  }

  private Optional<FakeNode> runningLeader() {
    return nodes.stream().filter(n -> n.isRunning() && n.replica().status().isLeader()).findFirst();
  }

  /** Lets the members that reach each other commit for a while. */
  private void advanceInForceIndex() {
    deliverAll();
    nodes.forEach(n -> ifRunning(n, FakeNode::sync));
    grantLeases();
    advanceTime(STEP_MILLIS);
    nodes.forEach(n -> ifRunning(n, this::propose));
    nodes.forEach(n -> ifRunning(n, this::proposeInForceIndex));
  }

  /** Ends all failures, and checks that the cluster commits again and all nodes catch up. */
  void recoverAndCheck() {
    network.heal();
    for (int i = 0; i < 400; i++) {
      nodes.forEach(this::restart);
      deliverAll();
      nodes.forEach(FakeNode::sync);
      advanceTime(STEP_MILLIS);
      nodes.forEach(this::replaceLostDisks);
    }
    long proposalsBefore = proposals;
    nodes.forEach(this::propose);
    for (int i = 0; i < 20; i++) {
      deliverAll();
      nodes.forEach(FakeNode::sync);
      advanceTime(STEP_MILLIS);
    }
    LogOracle.require(
        proposals > proposalsBefore, "no leader after all failures have ended: " + describe());
    long appliedIndex = nodes.get(0).appliedIndex();
    LogOracle.require(
        appliedIndex == oracle.committedCount(),
        appliedIndex
            + " entries applied of "
            + oracle.committedCount()
            + " committed after all failures have ended: "
            + describe());
    nodes.forEach(
        n -> LogOracle.require(n.appliedIndex() == appliedIndex, n.member() + " is behind"));
  }

  void send(MemberId sender, MemberId receiver, Object message) {
    network.send(new Packet(sender, receiver, message));
  }

  void recordCommit(Entry entry) {
    if (oracle.recordCommit(entry) && entry.membership() != null) {
      lostDisks.removeIf(node -> entry.membership().isVoter(nodeNamed(node).member()));
    }
  }

  void recordLeader(MemberId member, long term) {
    oracle.recordLeader(member, term);
  }

  private interface NodeAction {
    void run(FakeNode node);
  }

  private static void ifRunning(FakeNode node, NodeAction nodeAction) {
    if (node.isRunning()) {
      nodeAction.run(node);
    }
  }

  private void deliverSeveral(int argument) {
    for (int i = 0; i < 1 + argument % 8; i++) {
      deliver(argument >> i, false);
    }
  }

  private void deliver(int argument, boolean duplicate) {
    network.take(argument, duplicate).ifPresent(this::deliver);
  }

  private void deliver(Packet packet) {
    FakeNode receiver = nodeNamed(packet.receiver().node());
    if (!receiver.isRunning() || !receiver.member().equals(packet.receiver())) {
      return;
    }
    receive(receiver, packet);
    receiver.drain();
  }

  private void deliverAll() {
    for (int i = network.inFlightCount(); i > 0; i--) {
      deliver(0, false);
    }
  }

  private void receive(FakeNode receiver, Packet packet) {
    if (packet.message() instanceof LeaseRequest request) {
      receiver.receiveLeaseRequest(request, nowMillis);
    } else if (packet.message() instanceof Grant grant) {
      receiveGrant(receiver, grant);
    } else {
      receiver.replica().receive(packet.sender(), (Message) packet.message(), nowMillis);
    }
  }

  private void receiveGrant(FakeNode receiver, Grant grant) {
    if (!receiver.process().equals(grant.request().process())) {
      return;
    }
    long sequence = grant.request().sequence();
    if (fault == Fault.LEASE_STARTS_AT_GRANT_ARRIVAL) {
      sequence = receiver.lease().request(nowMillis, nowMillis);
    }
    receiver.lease().granted(sequence, FakeNode.LEASE_TIMING.leaseMillis(), grant.commitIndex());
  }

  private void advanceTime(long millis) {
    nowMillis += millis;
    nodes.forEach(
        n ->
            ifRunning(
                n,
                running -> {
                  running.replica().tick(nowMillis);
                  running.drain();
                }));
    oracle.checkLeases(nodes, nowMillis);
  }

  private void propose(FakeNode node) {
    byte[] command = ("command " + (proposals + 1)).getBytes(StandardCharsets.UTF_8);
    if (node.replica().propose(command).isPresent()) {
      proposals++;
      node.replica().flush(nowMillis);
      node.drain();
    }
  }

  private void requestLease(FakeNode node) {
    MemberId leader = node.replica().status().leader();
    if (leader != null) {
      LeaseRequest request = node.request(nowMillis);
      if (leader.equals(node.member())) {
        node.receiveLeaseRequest(request, nowMillis);
        node.drain();
      } else {
        send(node.member(), leader, request);
      }
    }
  }

  private void grantLeases() {
    for (FakeNode leader : nodes) {
      if (!leader.isRunning()) {
        continue;
      }
      long commitIndex = leader.replica().status().commitIndex();
      for (LeaseRequest request : leader.confirmedRequests(nowMillis)) {
        FakeNode holder = nodeNamed(request.node());
        Grant grant = new Grant(request, commitIndex);
        if (holder == leader) {
          receiveGrant(leader, grant);
        } else {
          send(leader.member(), holder.member(), grant);
        }
      }
    }
  }

  /**
   * Proposes, if the node leads, the index in force: the lowest index applied by the nodes whose
   * leases may not have expired.
   */
  private void proposeInForceIndex(FakeNode node) {
    LeaseTable table = node.leaseTable().orElse(null);
    if (table == null) {
      return;
    }
    long index =
        nodes.stream()
            .map(FakeNode::process)
            .filter(process -> !table.isExpired(process, nowMillis))
            .mapToLong(p -> table.latest(p).map(LeaseRequest::appliedIndex).orElse(0L))
            .min()
            .orElse(node.replica().status().commitIndex());
    node.replica().propose(LogOracle.inForce(index));
    node.replica().flush(nowMillis);
    node.drain();
  }

  private void restart(FakeNode node) {
    if (!node.isRunning()) {
      node.start(nowMillis);
      registerPeers();
    }
  }

  private void registerPeers() {
    for (FakeNode node : nodes) {
      ifRunning(node, running -> nodes.forEach(other -> running.replica().addPeer(other.member())));
    }
  }

  private void partition(FakeNode node, int argument) {
    FakeNode other = nodes.get(argument / nodes.size() % nodes.size());
    network.block(node, other);
    if (argument % 2 == 0) {
      nodes.forEach(peer -> network.blockBothWays(node, peer));
    }
  }

  private void crashAndRestartAll(int argument) {
    for (int i = 0; i < nodes.size(); i++) {
      int survivingRecords = (argument >> i) % 3;
      ifRunning(nodes.get(i), n -> n.crash(survivingRecords));
    }
    nodes.forEach(this::restart);
  }

  /** Wipes a voter's disk, unless as many as the cluster tolerates already await replacement. */
  private void loseDisk(FakeNode node) {
    if (node.isRunning() && node.isVoter() && lostDisks.size() < (voters - 1) / 2) {
      node.crash(0);
      node.wipeDisk(fault == Fault.WIPED_DISK_KEEPS_IDENTITY);
      if (fault != Fault.WIPED_DISK_KEEPS_IDENTITY) {
        lostDisks.add(node.member().node());
      }
    }
  }

  private void replaceLostDisks(FakeNode leader) {
    Membership membership = leader.replica().status().membership();
    if (!leader.replica().status().isLeader()) {
      return;
    }
    for (String lost : List.copyOf(lostDisks)) {
      FakeNode node = nodeNamed(lost);
      if (node.isRunning() && !membership.isVoter(node.member())) {
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
    return nodes.stream().map(n -> n.replica().status() + "\n").toList()
        + " lost disks "
        + lostDisks;
  }

  private FakeNode nodeNamed(String node) {
    return nodes.stream().filter(n -> n.member().node().equals(node)).findFirst().orElseThrow();
  }
}
