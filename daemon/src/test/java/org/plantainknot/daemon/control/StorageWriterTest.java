package org.plantainknot.daemon.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.UncheckedIOException;
import java.nio.channels.ClosedByInterruptException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.LogRecord;
import org.plantainknot.core.replica.LogRecord.Truncated;
import org.plantainknot.core.replica.MemberId;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.core.replica.StoredState;
import org.plantainknot.daemon.storage.ReplicaStorage;
import org.testng.annotations.Test;

/**
 * Tests that closing the writer completes the queued writes, and that its thread never ends unseen.
 *
 * <p>If closing interrupted the thread, the file channel would be closed in the middle of a write.
 */
public class StorageWriterTest {

  private static final long SYNC_MILLIS = 100;
  private static final long FAILURE_TIMEOUT_SECONDS = 5;

  /** Storage with a slow sync that fails when its thread is interrupted, as file channels do. */
  private static class SlowStorage implements ReplicaStorage {

    private final List<LogRecord> written = Collections.synchronizedList(new ArrayList<>());
    private final CountDownLatch appendStarted = new CountDownLatch(1);

    @Override
    public MemberId member() {
      return new MemberId("n", "i");
    }

    @Override
    public StoredState stored() {
      return StoredState.EMPTY;
    }

    @Override
    public void append(List<LogRecord> records) {
      appendStarted.countDown();
      try {
        Thread.sleep(SYNC_MILLIS);
      } catch (InterruptedException e) {
        throw new UncheckedIOException(new ClosedByInterruptException());
      }
      written.addAll(records);
    }

    @Override
    public void compact(Snapshot snapshot, List<Entry> remainingEntries) {}

    @Override
    public void close() {}
  }

  @Test
  void closingCompletesCurrentAndQueuedWrites() throws InterruptedException {
    SlowStorage storage = new SlowStorage();
    AtomicBoolean failed = new AtomicBoolean();
    StorageWriter writer = new StorageWriter(storage, token -> {}, () -> failed.set(true));
    writer.write(List.of(new Truncated(1)), 1);
    storage.appendStarted.await();
    writer.write(List.of(new Truncated(2)), 2);
    writer.close();
    assertFalse(failed.get(), "a write failed");
    assertEquals(storage.written, List.of(new Truncated(1), new Truncated(2)));
  }

  /** Guards against a member that lives on, but never votes or acknowledges an entry again. */
  @Test
  void anErrorOnTheThreadIsReportedAsAFailure() throws InterruptedException {
    CountDownLatch failed = new CountDownLatch(1);
    ReplicaStorage storage =
        new SlowStorage() {
          @Override
          public void append(List<LogRecord> records) {
            throw new OutOfMemoryError("no room for a buffer");
          }
        };
    StorageWriter writer = new StorageWriter(storage, token -> {}, failed::countDown);
    writer.write(List.of(new Truncated(1)), 1);
    assertTrue(failed.await(FAILURE_TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }
}
