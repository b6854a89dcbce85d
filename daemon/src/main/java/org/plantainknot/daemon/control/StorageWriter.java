package org.plantainknot.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.LongConsumer;
import org.plantainknot.core.replica.Entry;
import org.plantainknot.core.replica.LogRecord;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.daemon.storage.ReplicaStorage;

/**
 * Thread that writes to the storage, with one sync for each batch of queued records.
 *
 * <p>The thread stops at the first failed write, or at an error such as one of memory, and calls
 * the failure handler. That has to end the process: no later sync could be trusted, and a member
 * without this thread would seem to work but never vote or acknowledge an entry.
 */
public final class StorageWriter implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time to wait for an unresponsive disk when the process stops. */
  private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

  /** Duration of a write and its sync from which it is logged; elections follow soon after. */
  private static final long SLOW_WRITE_MILLIS = 500;

  /**
   * Task of the thread: records to append, or a snapshot of this member's state with the entries
   * after it.
   *
   * @param records records to write and sync, empty for a snapshot
   * @param token token to report once they are synced
   * @param snapshot snapshot, or null
   * @param remainingEntries entries after the snapshot
   */
  private record WriteTask(
      List<LogRecord> records, long token, Snapshot snapshot, List<Entry> remainingEntries) {

    /** Stops the thread once all earlier tasks are done. */
    private static final WriteTask END = new WriteTask(List.of(), 0, null, List.of());
  }

  private final ReplicaStorage storage;
  private final LongConsumer onSynced;
  private final Runnable onFailure;
  private final BlockingQueue<WriteTask> tasks = new LinkedBlockingQueue<>();
  private final Thread thread = new Thread(this::run, "storage");

  /** Starts the thread. */
  public StorageWriter(ReplicaStorage storage, LongConsumer onSynced, Runnable onFailure) {
    this.storage = storage;
    this.onSynced = onSynced;
    this.onFailure = onFailure;
    thread.setDaemon(true);
    thread.start();
  }

  /** Writes records and reports the token once they are synced. */
  public void write(List<LogRecord> records, long token) {
    tasks.add(new WriteTask(records, token, null, List.of()));
  }

  /** Replaces the log with a snapshot and the entries after it. */
  public void compact(Snapshot snapshot, List<Entry> remainingEntries) {
    tasks.add(new WriteTask(List.of(), 0, snapshot, remainingEntries));
  }

  /**
   * Completes the queued writes and closes the storage. The thread is not interrupted, because an
   * interrupt would close the file channel in the middle of a write.
   */
  @Override
  public void close() {
    tasks.add(WriteTask.END);
    try {
      thread.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (thread.isAlive()) {
      logger.atWarning().log("storage-stalled after-ms=%d", CLOSE_TIMEOUT_MILLIS);
    } else {
      storage.close();
    }
  }

  private void run() {
    try {
      boolean ended = false;
      while (!ended) {
        List<WriteTask> batch = new ArrayList<>(List.of(tasks.take()));
        tasks.drainTo(batch);
        ended = batch.removeIf(task -> task == WriteTask.END);
        if (!batch.isEmpty()) {
          long startMillis = Clock.nowMillis();
          writeBatch(batch);
          logIfSlow(batch, Clock.nowMillis() - startMillis);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      logger.atSevere().withCause(e).log("storage-failed");
      onFailure.run();
    }
  }

  private static void logIfSlow(List<WriteTask> batch, long tookMillis) {
    if (tookMillis >= SLOW_WRITE_MILLIS) {
      logger.atWarning().log(
          "storage-slow took-ms=%d records=%d snapshot=%s",
          tookMillis,
          batch.stream().mapToInt(task -> task.records().size()).sum(),
          batch.stream().anyMatch(task -> task.snapshot() != null));
    }
  }

  private void writeBatch(List<WriteTask> batch) {
    List<LogRecord> records = new ArrayList<>();
    long token = 0;
    for (WriteTask task : batch) {
      records.addAll(task.records());
      token = Math.max(token, task.token());
      if (task.snapshot() != null) {
        storage.append(records);
        records.clear();
        storage.compact(task.snapshot(), task.remainingEntries());
      }
    }
    storage.append(records);
    onSynced.accept(token);
  }
}
