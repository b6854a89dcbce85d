package org.plantainknot.daemon.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Membership;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.ReplicaTiming;
import org.plantainknot.daemon.storage.DiskStorage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that compaction leaves each entry on disk once.
 *
 * <p>An entry that is proposed before a compaction but not yet written could be written twice: with
 * the snapshot and again as a record.
 */
public class ReplicaDriverTest {

  private static final int ROUNDS = 10;
  private static final long SYNC_MILLIS = 20;

  private final AtomicLong syncedToken = new AtomicLong();
  private Path folder;
  private DiskStorage storage;
  private StorageWriter writer;
  private Replica replica;
  private ReplicaDriver driver;

  private static final class NoOpStateMachine implements ReplicaDriver.StateMachine {

    @Override
    public void restore(byte[] data) {}

    @Override
    public void apply(Entry entry) {}

    @Override
    public void onDrained() {}
  }

  @BeforeMethod
  void becomeLeader() throws IOException {
    folder = Files.createTempDirectory("plantainknot-driver");
    storage = DiskStorage.open(folder, "n1");
    MemberId self = storage.member();
    replica = new Replica(self, ReplicaTiming.DEFAULT, storage.stored(), 1, 0);
    writer = new StorageWriter(storage, syncedToken::set, () -> {});
    driver =
        new ReplicaDriver(
            replica,
            writer,
            ReplicaDriver.SyncMode.CONCURRENT_WITH_MESSAGES,
            envelope -> {},
            new NoOpStateMachine());
    TreeMap<String, String> voters = new TreeMap<>();
    voters.put(self.node(), self.incarnation());
    replica.form(new Membership("cluster", voters));
    sync();
    replica.tick(10_000);
    sync();
    assertTrue(replica.status().isLeader());
  }

  @Test
  void entriesProposedAroundACompactionAreOnDiskOnce() {
    propose("a");
    sync();
    long applied = replica.status().commitIndex();
    propose("b");
    driver.compact(applied, new byte[] {1});
    propose("c");
    sync();
    long last = replica.status().lastIndex();
    writer.close();
    List<Entry> read = DiskStorage.open(folder, "n1").stored().entries();
    assertEquals(read.stream().map(Entry::index).toList(), List.of(applied + 1, applied + 2));
    assertEquals(last, applied + 2);
  }

  private void propose(String command) {
    replica.propose(command.getBytes());
  }

  /** Drains the replica and waits for syncs often enough for all writes to finish. */
  private void sync() {
    for (int i = 0; i < ROUNDS; i++) {
      driver.drain();
      pause();
      driver.synced(syncedToken.get());
    }
  }

  private static void pause() {
    try {
      Thread.sleep(SYNC_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
