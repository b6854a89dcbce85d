package org.plantainknot.daemon.controller;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.daemon.control.ReplicaDriver;
import org.plantainknot.daemon.control.StateCodec;

/**
 * Replaces applied entries of the log by snapshots of the record.
 *
 * <p>The record is copied on the control thread and encoded on a thread of its own, since a large
 * record takes longer to encode than a heartbeat may wait. Used by the control thread only.
 */
final class Compactor implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int SNAPSHOT_ENTRIES = 4_000;

  private final Replica replica;
  private final ReplicaDriver driver;
  private final JobLedger ledger;
  private final Executor controlThread;
  private final ExecutorService encoder =
      Executors.newSingleThreadExecutor(task -> new Thread(task, "snapshot"));
  private boolean encoding;

  Compactor(Replica replica, ReplicaDriver driver, JobLedger ledger, Executor controlThread) {
    this.replica = replica;
    this.driver = driver;
    this.ledger = ledger;
    this.controlThread = controlThread;
  }

  /** Begins a snapshot if the log has grown long and the record holds all that is committed. */
  void compactIfLarge(long appliedIndex) {
    boolean due = !encoding && replica.logSize() > SNAPSHOT_ENTRIES;
    if (due && replica.status().commitIndex() == appliedIndex) {
      encoding = true;
      JobLedger.Image image = ledger.image();
      encoder.execute(() -> encode(image, appliedIndex));
    }
  }

  /** A record that can't be encoded is a failure of the control thread, which ends the process. */
  private void encode(JobLedger.Image image, long index) {
    try {
      byte[] data = StateCodec.write(image);
      controlThread.execute(() -> compact(index, data));
    } catch (RuntimeException e) {
      controlThread.execute(
          () -> {
            throw e;
          });
    }
  }

  /** A snapshot of the leader may have overtaken the own one meanwhile. */
  private void compact(long index, byte[] data) {
    encoding = false;
    long coveredIndex = replica.status().lastIndex() - replica.logSize();
    if (coveredIndex < index) {
      Snapshot snapshot = driver.compact(index, data);
      logger.atInfo().log("snapshot index=%d bytes=%d", snapshot.lastIndex(), data.length);
    }
  }

  @Override
  public void close() {
    encoder.shutdown();
  }
}
