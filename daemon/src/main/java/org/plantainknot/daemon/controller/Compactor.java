package org.plantainknot.daemon.controller;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import org.plantainknot.core.job.JobLedger;
import org.plantainknot.core.replica.Replica;
import org.plantainknot.core.replica.Snapshot;
import org.plantainknot.daemon.control.ReplicaDriver;
import org.plantainknot.daemon.control.StateCodec;

/**
 * Replaces applied log entries with snapshots of the replicated job state.
 *
 * <p>The state is copied on the control thread and encoded on a separate thread, because encoding a
 * large state takes longer than a heartbeat may be delayed. Used by the control thread only.
 */
final class Compactor implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Replica replica;
  private final ReplicaDriver driver;
  private final JobLedger ledger;
  private final Executor controlThread;
  private final Function<JobLedger.Image, byte[]> codec;
  private final ExecutorService encoder =
      Executors.newSingleThreadExecutor(task -> new Thread(task, "snapshot"));
  private final SnapshotThreshold threshold =
      new SnapshotThreshold(ThreadLocalRandom.current().nextLong());
  private boolean encoding;

  Compactor(Replica replica, ReplicaDriver driver, JobLedger ledger, Executor controlThread) {
    this(replica, driver, ledger, controlThread, StateCodec::write);
  }

  /**
   * Creates a compactor with a codec of its own.
   *
   * @param codec encodes the state on the thread of the snapshots
   */
  Compactor(
      Replica replica,
      ReplicaDriver driver,
      JobLedger ledger,
      Executor controlThread,
      Function<JobLedger.Image, byte[]> codec) {
    this.replica = replica;
    this.driver = driver;
    this.ledger = ledger;
    this.controlThread = controlThread;
    this.codec = codec;
  }

  /**
   * Starts a snapshot if the log is large enough, all committed entries are applied, and there are
   * any that the latest snapshot doesn't cover.
   */
  void compactIfLarge(long appliedIndex) {
    boolean due = !encoding && threshold.isExceededBy(replica.logSize());
    if (due && replica.status().commitIndex() == appliedIndex && appliedIndex > coveredIndex()) {
      encoding = true;
      threshold.redraw();
      JobLedger.Image image = ledger.image();
      encoder.execute(() -> encode(image, appliedIndex));
    }
  }

  /** Rethrows an encoding failure on the control thread, which halts the process. */
  private void encode(JobLedger.Image image, long index) {
    try {
      byte[] data = codec.apply(image);
      controlThread.execute(() -> compact(index, data));
    } catch (RuntimeException | Error e) {
      controlThread.execute(
          () -> {
            throw e;
          });
    }
  }

  /** Skips the snapshot if one received from the leader already covers its entries. */
  private void compact(long index, byte[] data) {
    encoding = false;
    if (coveredIndex() < index) {
      Snapshot snapshot = driver.compact(index, data);
      logger.atInfo().log("snapshot index=%d bytes=%d", snapshot.lastIndex(), data.length);
    }
  }

  /** Returns the index of the last entry that the latest snapshot covers. */
  private long coveredIndex() {
    return replica.status().lastIndex() - replica.logSize().entries();
  }

  @Override
  public void close() {
    encoder.shutdown();
  }
}
