package org.plantainknot.daemon.controller;

import static org.testng.Assert.expectThrows;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Membership;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.ReplicaTiming;
import org.plantainknot.core.replica.StoredState;
import org.plantainknot.daemon.control.ReplicaDriver;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the thread that encodes snapshots. */
public class CompactorTest {

  private static final int LARGE_ENTRY_BYTES = 21 << 20;
  private static final long TIMEOUT_SECONDS = 5;

  private final BlockingQueue<Runnable> controlTasks = new LinkedBlockingQueue<>();
  private Replica replica;
  private ReplicaDriver driver;
  private Compactor compactor;
  private long appliedIndex;

  @BeforeMethod
  void leadAlone() {
    MemberId self = new MemberId("n", "i");
    replica = new Replica(self, ReplicaTiming.DEFAULT, StoredState.EMPTY, 1, 0);
    driver =
        new ReplicaDriver(
            replica, null, ReplicaDriver.SyncMode.NONE, message -> {}, new IgnoringStateMachine());
    replica.form(new Membership("c", new TreeMap<>(Map.of("n", "i"))));
    replica.tick(ReplicaTiming.DEFAULT.maxElectionTimeoutMillis());
    driver.drain();
  }

  @AfterMethod
  void close() {
    compactor.close();
  }

  /** Guards against a member that takes no snapshot again, whose log then fills its disk. */
  @Test
  void anErrorWhileASnapshotIsEncodedReachesTheControlThread() throws InterruptedException {
    compactor =
        new Compactor(
            replica,
            driver,
            new JobLedger(),
            controlTasks::add,
            image -> {
              throw new OutOfMemoryError("no room for a snapshot");
            });
    replica.propose(new byte[LARGE_ENTRY_BYTES]);
    driver.drain();
    replica.flush(ReplicaTiming.DEFAULT.maxElectionTimeoutMillis());
    driver.drain();
    compactor.compactIfLarge(appliedIndex);
    Runnable task = controlTasks.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    expectThrows(OutOfMemoryError.class, task::run);
  }

  private final class IgnoringStateMachine implements ReplicaDriver.StateMachine {

    @Override
    public void restore(byte[] data) {}

    @Override
    public void apply(Entry entry) {
      appliedIndex = entry.index();
    }

    @Override
    public void onDrained() {}
  }
}
