package org.plantainknot.core.replica;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.plantainknot.core.lease.GatewayLease;
import org.plantainknot.core.lease.LeaseRequest;
import org.plantainknot.core.lease.LeaseTable;
import org.plantainknot.core.lease.LeaseTiming;

/** Member with a fake disk, its own lease and, while it leads, the table of all leases. */
final class FakeNode {

  static final LeaseTiming LEASE_TIMING = new LeaseTiming(250, 50, 25);

  private final FakeCluster cluster;
  private final boolean learner;
  private MemberId member;
  private int diskGeneration = 1;
  private int startCount;
  private FakeDisk disk = new FakeDisk();
  private Replica replica;
  private GatewayLease lease;
  private long appliedIndex;
  private long snapshotIndex;
  private LeaseTable table;
  private long ledTerm;
  private long termStartIndex;

  FakeNode(FakeCluster cluster, String name, boolean learner) {
    this.cluster = cluster;
    this.learner = learner;
    this.member = new MemberId(name, "disk1");
  }

  MemberId member() {
    return member;
  }

  Replica replica() {
    return replica;
  }

  GatewayLease lease() {
    return lease;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  boolean isRunning() {
    return replica != null;
  }

  boolean isVoter() {
    return !learner;
  }

  String process() {
    return member.node() + "#" + startCount;
  }

  /** Returns the lease table if this node leads and has applied the first entry of its term. */
  Optional<LeaseTable> leaseTable() {
    return Optional.ofNullable(table);
  }

  void start(long nowMillis) {
    startCount++;
    if (learner) {
      member = new MemberId(member.node(), process());
      disk = new FakeDisk();
    }
    lease = new GatewayLease();
    StoredState stored = disk.stored();
    appliedIndex = stored.snapshot().lastIndex();
    snapshotIndex = appliedIndex;
    table = null;
    ledTerm = 0;
    long seed = member.hashCode() * 31L + startCount;
    replica = new Replica(member, FakeCluster.TIMING, stored, seed, nowMillis);
  }

  void crash(int survivingRecords) {
    disk.crash(survivingRecords);
    replica = null;
    table = null;
  }

  /** Replaces the disk of a stopped node with an empty one. */
  void wipeDisk(boolean keepIdentity) {
    disk = new FakeDisk();
    diskGeneration++;
    if (!keepIdentity) {
      member = new MemberId(member.node(), "disk" + diskGeneration);
    }
  }

  void sync() {
    replica.synced(disk.sync());
    drain();
  }

  void compact() {
    drain();
    if (appliedIndex > snapshotIndex) {
      snapshotIndex = appliedIndex;
      Snapshot snapshot = replica.compact(appliedIndex, new byte[0]);
      disk.compact(snapshot, replica.entries());
    }
  }

  /** Carries out the pending work of the replica. */
  void drain() {
    for (Ready ready = replica.ready(); !ready.isEmpty(); ready = replica.ready()) {
      ready.messages().forEach(e -> cluster.send(member, e.receiver(), e.message()));
      disk.write(ready.records(), ready.syncToken());
      if (cluster.fault() == Fault.ACKNOWLEDGE_BEFORE_SYNC || learner) {
        replica.synced(ready.syncToken());
      }
      if (ready.restored() != null) {
        appliedIndex = ready.restored().lastIndex();
        snapshotIndex = appliedIndex;
      }
      ready.committed().forEach(this::apply);
    }
    lease.applied(appliedIndex);
    updateLeaseTable();
    assertEquals(
        replica.logSize().bytes(),
        replica.entries().stream().mapToLong(Entry::sizeBytes).sum(),
        "size of the log in bytes");
  }

  void receiveLeaseRequest(LeaseRequest request, long nowMillis) {
    if (table != null) {
      table.request(request, replica.startRound(nowMillis));
    }
  }

  LeaseRequest request(long nowMillis) {
    long sequence = lease.request(nowMillis, nowMillis);
    return new LeaseRequest(member.node(), process(), sequence, appliedIndex, 0, Set.of(), false);
  }

  List<LeaseRequest> confirmedRequests(long nowMillis) {
    if (table == null) {
      return List.of();
    }
    long round =
        cluster.fault() == Fault.LEASE_WITHOUT_QUORUM ? Long.MAX_VALUE : replica.confirmedRound();
    return table.confirm(round, replica.status().commitIndex(), nowMillis);
  }

  private void apply(Entry entry) {
    if (entry.index() != appliedIndex + 1) {
      throw new AssertionError(
          member + " applies entry " + entry.index() + " after " + appliedIndex);
    }
    appliedIndex = entry.index();
    cluster.recordCommit(entry);
  }

  private void updateLeaseTable() {
    ReplicaStatus status = replica.status();
    if (!status.isLeader()) {
      table = null;
      ledTerm = 0;
      return;
    }
    if (ledTerm != status.term()) {
      ledTerm = status.term();
      termStartIndex = status.lastIndex();
      table = null;
      cluster.recordLeader(member, status.term());
    }
    if (table == null && appliedIndex >= termStartIndex) {
      table = new LeaseTable(LEASE_TIMING, cluster.nowMillis());
    }
  }
}
