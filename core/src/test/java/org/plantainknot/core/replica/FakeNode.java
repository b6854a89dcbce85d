package org.plantainknot.core.replica;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.plantainknot.core.lease.GatewayLease;
import org.plantainknot.core.lease.LeaseRequest;
import org.plantainknot.core.lease.LeaseTable;
import org.plantainknot.core.lease.LeaseTiming;

/** A member with its fake disk, its lease and, while it leads, the table of all leases. */
final class FakeNode {

  static final LeaseTiming LEASES = new LeaseTiming(250, 50, 25);

  private final FakeCluster cluster;
  private final boolean learner;
  private MemberId member;
  private int generation = 1;
  private int starts;
  private FakeDisk disk = new FakeDisk();
  private Replica replica;
  private GatewayLease lease;
  private long appliedIndex;
  private long snapshotIndex;
  private LeaseTable table;
  private long leadsTerm;
  private long officeIndex;

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

  boolean isUp() {
    return replica != null;
  }

  boolean isVoter() {
    return !learner;
  }

  String process() {
    return member.node() + "#" + starts;
  }

  /** Returns the leases that this node gives, if it leads and has applied its first entry. */
  Optional<LeaseTable> office() {
    return Optional.ofNullable(table);
  }

  void start(long nowMillis) {
    starts++;
    if (learner) {
      member = new MemberId(member.node(), process());
      disk = new FakeDisk();
    }
    lease = new GatewayLease();
    StoredState stored = disk.stored();
    appliedIndex = stored.snapshot().lastIndex();
    snapshotIndex = appliedIndex;
    table = null;
    leadsTerm = 0;
    long seed = member.hashCode() * 31L + starts;
    replica = new Replica(member, FakeCluster.TIMING, stored, seed, nowMillis);
  }

  void crash(int recordsThatSurvive) {
    disk.crash(recordsThatSurvive);
    replica = null;
    table = null;
  }

  /** Loses the disk of a node that is down. */
  void emptyDisk(boolean keepIdentity) {
    disk = new FakeDisk();
    generation++;
    if (!keepIdentity) {
      member = new MemberId(member.node(), "disk" + generation);
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

  /** Carries out what the replica asks for. */
  void drain() {
    for (Ready work = replica.ready(); !work.isEmpty(); work = replica.ready()) {
      work.messages().forEach(e -> cluster.post(member, e.receiver(), e.message()));
      disk.write(work.records(), work.syncToken());
      if (cluster.fault() == Fault.ACKNOWLEDGE_BEFORE_SYNC || learner) {
        replica.synced(work.syncToken());
      }
      if (work.restored() != null) {
        appliedIndex = work.restored().lastIndex();
        snapshotIndex = appliedIndex;
      }
      work.committed().forEach(this::apply);
    }
    lease.applied(appliedIndex);
    followRole();
  }

  void requested(LeaseRequest request, long nowMillis) {
    if (table != null) {
      table.request(request, replica.startRound(nowMillis));
    }
  }

  LeaseRequest request(long nowMillis) {
    long sequence = lease.request(nowMillis);
    return new LeaseRequest(member.node(), process(), sequence, appliedIndex, 0, Set.of(), false);
  }

  List<LeaseRequest> grants(long nowMillis) {
    if (table == null) {
      return List.of();
    }
    long round =
        cluster.fault() == Fault.LEASE_WITHOUT_QUORUM ? Long.MAX_VALUE : replica.confirmedRound();
    return table.confirm(round, replica.status().commitIndex(), nowMillis);
  }

  private void apply(Entry entry) {
    if (entry.index() != appliedIndex + 1) {
      throw new AssertionError(member + " applies " + entry.index() + " after " + appliedIndex);
    }
    appliedIndex = entry.index();
    cluster.committed(member, entry);
  }

  private void followRole() {
    ReplicaStatus status = replica.status();
    if (!status.isLeader()) {
      table = null;
      leadsTerm = 0;
      return;
    }
    if (leadsTerm != status.term()) {
      leadsTerm = status.term();
      officeIndex = status.lastIndex();
      table = null;
      cluster.elected(member, status.term());
    }
    if (table == null && appliedIndex >= officeIndex) {
      table = new LeaseTable(LEASES, cluster.nowMillis());
    }
  }
}
